package switchgap.endpoints;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;
import switchgap.server.platform.EventStreamTestServer;
import switchgap.testing.BoundedWait;

/** A client with its own network transport that records the events that it delivers. */
final class EventStreamClientFixture implements AutoCloseable {
  static final EndpointNames NAMES =
      EndpointNames.ofIndices(Map.of("east", 0), Map.of("std", 0), 1000);

  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final int MAX_BODY_BYTES = 1 << 16;

  final EventStreamClient client;
  private final NetworkTransport network;
  private volatile boolean confirmed;
  private final List<EndpointListEvent> received = new CopyOnWriteArrayList<>();

  EventStreamClientFixture(long lastSequence) throws IOException {
    network = new NetworkTransport(1, "follow");
    client =
        new EventStreamClient(
            new HttpClientConnector(network, null, MAX_BODY_BYTES),
            lastSequence,
            NAMES,
            new RecordingListener(),
            line -> {});
  }

  private final class RecordingListener implements EventStreamListener {
    @Override
    public void eventReceived(EndpointListEvent event) {
      received.add(event);
    }

    @Override
    public void listConfirmed(Duration validity) {
      confirmed = true;
    }

    @Override
    public void listUnconfirmed() {
      confirmed = false;
    }
  }

  /** Waits until the list is confirmed or, if {@code expected} is false, unconfirmed. */
  void awaitConfirmed(boolean expected) throws InterruptedException {
    await(() -> confirmed == expected);
  }

  boolean isConfirmed() {
    return confirmed;
  }

  /** Returns an event with this sequence number that changes one worker. */
  static String event(long sequence) {
    return EventStreamTestServer.endpointListEvent(
        sequence, false, worker("w" + sequence, "SERVING"));
  }

  static String worker(String name, String state) {
    return EventStreamTestServer.endpoint(name, "127.0.0.1:7", state, 0);
  }

  /** Sends a heartbeat and leaves the connection open. */
  static EventStreamTestServer.StreamHandler heartbeatOnly() {
    return (connectionIndex, lastEventId, out) -> {
      out.write(": beat\n\n".getBytes(StandardCharsets.UTF_8));
      return true;
    };
  }

  List<Long> receivedSequences() {
    return received.stream().map(EndpointListEvent::sequence).toList();
  }

  /** Returns the sequence number and first worker of each received event. */
  List<String> receivedWorkers() {
    return received.stream()
        .map(event -> event.sequence() + event.updates().get(0).name())
        .toList();
  }

  void awaitReceived(int events) throws InterruptedException {
    await(() -> received.size() == events);
  }

  static void awaitRequests(EventStreamTestServer server, int requests)
      throws InterruptedException {
    await(() -> server.requestedEventIds().size() == requests);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    BoundedWait.until(TIMEOUT, condition);
  }

  @Override
  public void close() throws IOException {
    client.close();
    network.close();
  }
}
