package switchgap.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Parses request bodies and creates response bodies of the Open Inference Protocol. */
final class ModelServerResponses {
  static final byte[] EMPTY = {};
  private static final ObjectMapper JSON = new ObjectMapper();

  private ModelServerResponses() {}

  static String decode(String pathSegment) {
    return URLDecoder.decode(pathSegment, StandardCharsets.UTF_8);
  }

  static byte[] error(String reason) {
    return ("{\"error\":\"" + reason + "\"}").getBytes(StandardCharsets.UTF_8);
  }

  static byte[] inferenceResult(String id) {
    return ("{\"id\":\"" + id + "\",\"outputs\":[]}").getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the id in the body of an inference request, or an empty string. */
  static String requestId(byte[] body) {
    return parse(body).path("id").asText("");
  }

  /** Returns the number of replicas that a load command requests; 1 if it has none. */
  static int requestedReplicas(byte[] body) {
    return parse(body).path("parameters").path("copies").asInt(1);
  }

  /** Treats a body that is not valid JSON as empty, since the emulator accepts any body. */
  private static JsonNode parse(byte[] body) {
    try {
      JsonNode parsed = JSON.readTree(body);
      return parsed == null ? JSON.missingNode() : parsed;
    } catch (IOException e) {
      return JSON.missingNode();
    }
  }
}
