package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.endpoints.EventStreamClientFixture.event;
import static switchgap.endpoints.EventStreamClientFixture.heartbeatOnly;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import switchgap.server.platform.EventStreamTestServer;

/**
 * The list must be confirmed only while all events of the stream are known to have been received.
 */
class EventStreamConfirmationTest {
  /** Time within which a confirmation would be observed. */
  private static final long OBSERVATION_MILLIS = 300;

  private static void assertStaysUnconfirmed(EventStreamClientFixture fixture)
      throws InterruptedException {
    Thread.sleep(OBSERVATION_MILLIS);
    assertThat(fixture.isConfirmed()).isFalse();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void heartbeatConfirmsListUntilConnectionIsLost() throws Exception {
    try (EventStreamTestServer server = new EventStreamTestServer(heartbeatOnly());
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      fixture.awaitConfirmed(true);
      server.close();
      fixture.awaitConfirmed(false);
      assertStaysUnconfirmed(fixture);
    }
  }

  /**
   * An event alone does not confirm the list, because it may be the first of several missed events.
   */
  @Test
  void eventConfirmsListOnlyWhenHeartbeatFollows() throws Exception {
    EventStreamTestServer.StreamHandler oneEvent =
        (connectionIndex, lastEventId, out) -> {
          EventStreamTestServer.sendEvent(out, event(lastEventId + 1));
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(oneEvent);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      fixture.awaitReceived(1);
      assertStaysUnconfirmed(fixture);
      server.sendHeartbeats();
      fixture.awaitConfirmed(true);
    }
  }

  @Test
  void openConnectionWithoutDataDoesNotConfirmList() throws Exception {
    try (EventStreamTestServer server =
            new EventStreamTestServer((connectionIndex, lastEventId, out) -> true);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      EventStreamClientFixture.awaitRequests(server, 1);
      assertStaysUnconfirmed(fixture);
    }
  }

  @Test
  void listBecomesUnconfirmedWhenStreamIsSilent() throws Exception {
    EventStreamTestServer.StreamHandler heartbeatOnce =
        (connectionIndex, lastEventId, out) -> {
          if (connectionIndex == 0) {
            write(out, ":\n\n");
          }
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(heartbeatOnce);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      fixture.awaitConfirmed(true);
      fixture.awaitConfirmed(false);
      assertStaysUnconfirmed(fixture);
    }
  }

  /** Heartbeats after an event that can't be parsed do not show that all events were received. */
  @Test
  void heartbeatsAfterInvalidEventDoNotConfirmList() throws Exception {
    EventStreamTestServer.StreamHandler invalidAtFirst =
        (connectionIndex, lastEventId, out) -> {
          boolean isValid = connectionIndex > 2;
          write(out, ":\n\n");
          EventStreamTestServer.sendEvent(
              out, isValid ? event(lastEventId + 1) : "{\"n\":\"none\"}");
          write(out, ":\n\n");
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(invalidAtFirst);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      EventStreamClientFixture.awaitRequests(server, 2);
      assertThat(fixture.isConfirmed()).isFalse();
      fixture.awaitReceived(1);
      fixture.awaitConfirmed(true);
    }
  }

  @Test
  void heartbeatWithinIncompleteEventDoesNotConfirmList() throws Exception {
    EventStreamTestServer.StreamHandler endless =
        (connectionIndex, lastEventId, out) -> {
          write(out, "id: 2\ndata: {\"n\":2,\n:\n");
          return true;
        };
    try (EventStreamTestServer server = new EventStreamTestServer(endless);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(server.address());
      EventStreamClientFixture.awaitRequests(server, 1);
      assertStaysUnconfirmed(fixture);
    }
  }

  /** After the migration, heartbeats from the old address no longer confirm the list. */
  @Test
  void newAddressConfirmsListOnceItSendsHeartbeats() throws Exception {
    try (EventStreamTestServer oldServer = new EventStreamTestServer(heartbeatOnly());
        EventStreamTestServer newServer =
            new EventStreamTestServer((connectionIndex, lastEventId, out) -> true);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(oldServer.address());
      fixture.awaitConfirmed(true);
      fixture.client.follow(newServer.address());
      EventStreamClientFixture.awaitRequests(newServer, 1);
      oldServer.sendHeartbeats();
      assertStaysUnconfirmed(fixture);
      newServer.sendHeartbeats();
      fixture.awaitConfirmed(true);
    }
  }
}
