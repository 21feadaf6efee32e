package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.endpoints.EventStreamClientFixture.event;
import static switchgap.endpoints.EventStreamClientFixture.worker;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.server.platform.EventStreamTestServer;

/** Delivery of the event stream's events despite lost connections, duplicates, gaps and silence. */
class EventStreamClientTest {
  private static final int TRICKLED_BYTES = 100;
  private static final int TRICKLE_INTERVAL_MILLIS = 50;

  /**
   * The first connection ends within an event. The second repeats events and then has a gap. The
   * third sends an invalid event. The fourth sends all remaining events.
   */
  private static boolean deliverWithFaults(int connectionIndex, long lastEventId, OutputStream out)
      throws IOException {
    switch (connectionIndex) {
      case 0 -> {
        EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
        String cutEvent = "data: " + event(lastEventId + 2).substring(0, 20);
        out.write(cutEvent.getBytes(StandardCharsets.UTF_8));
        return false;
      }
      case 1 -> {
        EventStreamTestServer.sendEvent(out, event(lastEventId));
        EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
        EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
        EventStreamTestServer.sendEvent(out, event(lastEventId + 3));
        return true;
      }
      case 2 -> {
        EventStreamTestServer.sendEvent(out, "{\"n\":\"nonsense\"}");
        return false;
      }
      default -> {
        for (long sequence = lastEventId + 1; sequence <= 6; sequence++) {
          EventStreamTestServer.sendEvent(out, event(sequence));
        }
        return true;
      }
    }
  }

  @Test
  void deliversEachEventOnceAndInOrderDespiteLostConnectionsDuplicatesAndGaps() throws Exception {
    try (EventStreamTestServer server =
            new EventStreamTestServer(EventStreamClientTest::deliverWithFaults);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      fixture.awaitReceived(5);
      assertThat(fixture.receivedSequences()).containsExactly(2L, 3L, 4L, 5L, 6L);
      assertThat(server.requestedEventIds()).startsWith(1L, 2L, 3L, 3L);
    }
  }

  @Test
  void reconnectsToSilentServerAndResumesAtAnotherAddress() throws Exception {
    EventStreamTestServer.StreamHandler silentAtFirst =
        (connectionIndex, lastEventId, out) -> {
          if (connectionIndex == 1) {
            EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
          }
          return true; // The connection stays open and silent.
        };
    EventStreamTestServer.StreamHandler deliversOne =
        (connectionIndex, lastEventId, out) -> {
          EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
          return true;
        };
    try (EventStreamTestServer firstServer = new EventStreamTestServer(silentAtFirst);
        EventStreamTestServer secondServer = new EventStreamTestServer(deliversOne);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(firstServer.address());
      fixture.awaitReceived(1); // The first connection was silent; the second one delivers.
      assertThat(firstServer.requestedEventIds()).containsExactly(1L, 1L);
      fixture.client.follow(secondServer.address());
      fixture.awaitReceived(2);
      assertThat(secondServer.requestedEventIds()).containsExactly(2L);
    }
  }

  /** Starts a thread that sends an endless event one byte at a time. */
  private static void trickle(OutputStream out) {
    Thread thread =
        new Thread(
            () -> {
              try {
                out.write("data: ".getBytes(StandardCharsets.UTF_8));
                for (int i = 0; i < TRICKLED_BYTES; i++) {
                  out.write('x');
                  Thread.sleep(TRICKLE_INTERVAL_MILLIS);
                }
              } catch (IOException | InterruptedException e) {
                return; // The client closed the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  void reconnectsWhenEventNeverEnds() throws Exception {
    EventStreamTestServer.StreamHandler handler =
        (connectionIndex, lastEventId, out) -> {
          if (connectionIndex == 0) {
            trickle(out);
          } else {
            EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
          }
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(handler);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      long startedNanos = System.nanoTime();
      fixture.client.follow(server.address());
      fixture.awaitReceived(1); // The second connection delivers.
      assertThat(Duration.ofNanos(System.nanoTime() - startedNanos))
          .isLessThan(Duration.ofSeconds(4));
    }
  }

  @Test
  void acceptsCompleteListWithLastSequenceNumberButNoOlderOne() throws Exception {
    EventStreamTestServer.StreamHandler handler =
        (connectionIndex, lastEventId, out) -> {
          String[] events = {
            EventStreamTestServer.endpointListEvent(
                lastEventId - 1, true, worker("older", "SERVING")),
            EventStreamTestServer.endpointListEvent(lastEventId, true, worker("same", "DRAINING")),
            EventStreamTestServer.endpointListEvent(
                lastEventId, false, worker("repeated", "SERVING")),
            EventStreamTestServer.endpointListEvent(
                lastEventId + 3, true, worker("ahead", "SERVING")),
            event(lastEventId + 4)
          };
          for (String event : events) {
            EventStreamTestServer.sendEvent(out, event);
          }
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(handler);
        EventStreamClientFixture fixture = new EventStreamClientFixture(5)) {
      fixture.client.follow(server.address());
      fixture.awaitReceived(3);
      assertThat(fixture.receivedWorkers()).containsExactly("5same", "8ahead", "9w9");
      // A complete list has no gap before it, so the client does not reconnect.
      assertThat(server.requestedEventIds()).containsExactly(5L);
    }
  }
}
