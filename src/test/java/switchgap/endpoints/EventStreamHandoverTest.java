package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.endpoints.EventStreamClientFixture.event;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import switchgap.server.platform.EventStreamTestServer;

/** Migration of a client to another address of the event stream by a new configuration. */
class EventStreamHandoverTest {
  /** Sends this number of further events after the latch is released. */
  private static EventStreamTestServer.StreamHandler afterRelease(
      CountDownLatch release, int events) {
    return (connectionIndex, lastEventId, out) -> {
      try {
        release.await();
      } catch (InterruptedException e) {
        return false;
      }
      for (int i = 1; i <= events; i++) {
        EventStreamTestServer.sendEvent(out, event(lastEventId + i));
      }
      return true;
    };
  }

  @Test
  void deliversFromOldAddressUntilNewOneDelivers() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    // The old address delivers the first of these two events as well.
    EventStreamTestServer.StreamHandler deliversTwo = afterRelease(release, 2);
    try (EventStreamTestServer oldServer =
            new EventStreamTestServer(EventStreamClientFixture.heartbeatOnly());
        EventStreamTestServer newServer = new EventStreamTestServer(deliversTwo);
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(oldServer.address());
      EventStreamClientFixture.awaitRequests(oldServer, 1);
      oldServer.sendEvent(event(2));
      fixture.awaitReceived(1);
      fixture.client.follow(newServer.address());
      EventStreamClientFixture.awaitRequests(newServer, 1);
      oldServer.sendEvent(event(3));
      fixture.awaitReceived(2);
      release.countDown();
      fixture.awaitReceived(3);
      assertThat(fixture.receivedSequences()).containsExactly(2L, 3L, 4L);
      assertThat(oldServer.awaitClientClose(0)).isTrue();
      assertThat(oldServer.requestedEventIds()).hasSize(1);
      assertThat(newServer.requestedEventIds()).containsExactly(2L);
    }
  }

  @Test
  void requestsNewAddressOnceWhenOldConnectionEndsBeforeNewOneDelivers() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    EventStreamTestServer oldServer =
        new EventStreamTestServer(EventStreamClientFixture.heartbeatOnly());
    try (EventStreamTestServer newServer = new EventStreamTestServer(afterRelease(release, 1));
        EventStreamClientFixture fixture = new EventStreamClientFixture(1)) {
      fixture.client.follow(oldServer.address());
      EventStreamClientFixture.awaitRequests(oldServer, 1);
      oldServer.sendEvent(event(2));
      fixture.awaitReceived(1);
      fixture.client.follow(newServer.address());
      EventStreamClientFixture.awaitRequests(newServer, 1);
      oldServer.close();
      release.countDown();
      fixture.awaitReceived(2);
      assertThat(newServer.requestedEventIds()).containsExactly(2L);
    }
  }
}
