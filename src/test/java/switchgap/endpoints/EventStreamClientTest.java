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

/** Delivery of the control feed's events through breaks, repeats, gaps and silence. */
class EventStreamClientTest {
  private static final int TRICKLED_BYTES = 100;
  private static final int TRICKLE_INTERVAL_MILLIS = 50;

  /** Cut within an event; an event twice and then a gap; an invalid event; then all that is due. */
  private static boolean deliverWithFaults(int connection, long last, OutputStream out)
      throws IOException {
    switch (connection) {
      case 0 -> {
        EventStreamTestServer.sendEvent(out, event(last + 1));
        String cutEvent = "data: " + event(last + 2).substring(0, 20);
        out.write(cutEvent.getBytes(StandardCharsets.UTF_8));
        return false;
      }
      case 1 -> {
        EventStreamTestServer.sendEvent(out, event(last));
        EventStreamTestServer.sendEvent(out, event(last + 1));
        EventStreamTestServer.sendEvent(out, event(last + 1));
        EventStreamTestServer.sendEvent(out, event(last + 3));
        return true;
      }
      case 2 -> {
        EventStreamTestServer.sendEvent(out, "{\"n\":\"nonsense\"}");
        return false;
      }
      default -> {
        for (long sequence = last + 1; sequence <= 6; sequence++) {
          EventStreamTestServer.sendEvent(out, event(sequence));
        }
        return true;
      }
    }
  }

  @Test
  void deliversEachEventOnceAndInOrderThroughBreaksRepeatsAndGaps() throws Exception {
    try (EventStreamTestServer feed =
            new EventStreamTestServer(EventStreamClientTest::deliverWithFaults);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(feed.address());
      fixture.awaitReceived(5);
      assertThat(fixture.receivedSequences()).containsExactly(2L, 3L, 4L, 5L, 6L);
      assertThat(feed.requestedEventIds()).startsWith(1L, 2L, 3L, 3L);
    }
  }

  @Test
  void reconnectsToSilentFeedAndResumesAtAnotherAddress() throws Exception {
    EventStreamTestServer.StreamHandler silentAtFirst =
        (connection, last, out) -> {
          if (connection == 1) {
            EventStreamTestServer.sendEvent(out, event(last + 1));
          }
          return true; // and then sends nothing
        };
    EventStreamTestServer.StreamHandler deliversOne =
        (connection, last, out) -> {
          EventStreamTestServer.sendEvent(out, event(last + 1));
          return true;
        };
    try (EventStreamTestServer firstFeed = new EventStreamTestServer(silentAtFirst);
        EventStreamTestServer secondFeed = new EventStreamTestServer(deliversOne);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(firstFeed.address());
      fixture.awaitReceived(1); // on the second connection, as the first was silent
      assertThat(firstFeed.requestedEventIds()).containsExactly(1L, 1L);
      fixture.client.follow(secondFeed.address());
      fixture.awaitReceived(2);
      assertThat(secondFeed.requestedEventIds()).containsExactly(2L);
    }
  }

  /** Sends single bytes of an event that never ends, on a thread of its own. */
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
                return; // the client closed the connection
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Test
  void reconnectsWhenEventNeverEnds() throws Exception {
    EventStreamTestServer.StreamHandler behaviour =
        (connection, last, out) -> {
          if (connection == 0) {
            trickle(out);
          } else {
            EventStreamTestServer.sendEvent(out, event(last + 1));
          }
          return true;
        };
    try (EventStreamTestServer feed = new EventStreamTestServer(behaviour);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      long startedNanos = System.nanoTime();
      fixture.client.follow(feed.address());
      fixture.awaitReceived(1); // from the second connection
      assertThat(Duration.ofNanos(System.nanoTime() - startedNanos))
          .isLessThan(Duration.ofSeconds(4));
    }
  }

  @Test
  void acceptsCompleteListUnderTheLastNumberAndNoOlderOne() throws Exception {
    EventStreamTestServer.StreamHandler behaviour =
        (connection, last, out) -> {
          String[] events = {
            EventStreamTestServer.endpointListEvent(last - 1, true, worker("older", "SERVING")),
            EventStreamTestServer.endpointListEvent(last, true, worker("same", "DRAINING")),
            EventStreamTestServer.endpointListEvent(last, false, worker("repeated", "SERVING")),
            EventStreamTestServer.endpointListEvent(last + 3, true, worker("ahead", "SERVING")),
            event(last + 4)
          };
          for (String event : events) {
            EventStreamTestServer.sendEvent(out, event);
          }
          return true;
        };
    try (EventStreamTestServer feed = new EventStreamTestServer(behaviour);
        EventStreamClientFixture fixture = new EventStreamClientFixture(5)) {
      fixture.client.follow(feed.address());
      fixture.awaitReceived(3);
      assertThat(fixture.receivedWorkers()).containsExactly("5same", "8ahead", "9w9");
      // no event is missing before a complete list, so it is requested once
      assertThat(feed.requestedEventIds()).containsExactly(5L);
    }
  }
}
