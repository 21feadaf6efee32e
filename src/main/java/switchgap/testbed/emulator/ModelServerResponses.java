package switchgap.testbed.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/** Bodies of the Open Inference Protocol as the emulated model server reads and writes them. */
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

  static byte[] output(String id) {
    return ("{\"id\":\"" + id + "\",\"outputs\":[]}").getBytes(StandardCharsets.UTF_8);
  }

  /** The id that the caller put into the body of an inference request, empty for none. */
  static String requestId(byte[] body) {
    return parse(body).path("id").asText("");
  }

  /** The number of replicas that a load command asks for, 1 where it names none. */
  static int requestedReplicas(byte[] body) {
    return parse(body).path("parameters").path("copies").asInt(1);
  }

  /** A body that is no JSON counts as empty: the emulator serves any body. */
  private static JsonNode parse(byte[] body) {
    try {
      JsonNode parsed = JSON.readTree(body);
      return parsed == null ? JSON.missingNode() : parsed;
    } catch (IOException e) {
      return JSON.missingNode();
    }
  }
}
