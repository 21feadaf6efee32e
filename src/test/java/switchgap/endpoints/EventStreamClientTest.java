package switchgap.endpoints;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import switchgap.net.HttpClientConnector;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.WorkerState;
import switchgap.protocol.sse.ServerSentEventDecoder;
import switchgap.router.EndpointUpdate;
import switchgap.server.platform.EventStreamTestServer;

/** The control feed through breaks, repeats, gaps, silence and a change of its address. */
class EventStreamClientTest {
  private static final EndpointNames NAMES =
      EndpointNames.ofIndices(Map.of("east", 0), Map.of("std", 0), 1000);

  private static String event(long sequence) {
    return EventStreamTestServer.endpointListEvent(
        sequence,
        false,
        EventStreamTestServer.endpoint("w" + sequence, "127.0.0.1:7", "SERVING", 0));
  }

  @Test
  void decodesTheSameEventsWhereverTheStreamIsSplit() {
    byte[] stream =
        ": hello\r\nid: 4\r\ndata: a\r\ndata: b\r\n\r\nid:5\ndata:c\n\ndata: cut off"
            .getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i <= stream.length; i++) {
      ServerSentEventDecoder sse = new ServerSentEventDecoder(100);
      List<String> received = new ArrayList<>();
      assertThat(
              sse.take(
                  java.util.Arrays.copyOf(stream, i), (id, data) -> received.add(id + "=" + data)))
          .isTrue();
      assertThat(
              sse.take(
                  java.util.Arrays.copyOfRange(stream, i, stream.length),
                  (id, data) -> received.add(id + "=" + data)))
          .isTrue();
      assertThat(received).as("split at %d", i).containsExactly("4=a\nb", "5=c");
    }
    assertThat(
            new ServerSentEventDecoder(10)
                .take("data: more than ten".getBytes(StandardCharsets.UTF_8), (id, data) -> {}))
        .isFalse();
  }

  @Test
  void readsAWorkerOfAnEvent() throws Exception {
    EndpointListEvent event =
        EndpointListEvent.parse(
            EventStreamTestServer.endpointListEvent(
                41, true, EventStreamTestServer.endpoint("s-1", "10.1.0.9:10080", "SERVING", 1500)),
            NAMES);
    assertThat(event.sequence()).isEqualTo(41);
    assertThat(event.complete()).isTrue();
    assertThat(event.updates())
        .containsExactly(
            new EndpointUpdate(
                "s-1", "10.1.0.9", 10080, WorkerState.READY, 0, 2, 0, 4, Duration.ofMillis(500)));
    assertThat(EndpointListEvent.parse("{\"n\":5,\"news\":{}}", NAMES).updates()).isNull();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{",
        "[]",
        "{}",
        "{\"n\":1,\"members\":{}}",
        "{\"n\":1,\"members\":{\"targets\":[3]}}",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"state\":\"ODD\"}]}}",
        "{\"n\":1} more",
        "{\"n\":1,\"members\":{\"targets\":[{\"uid\":\"a\",\"endpoint\":\"nowhere\",\"state\":\"SERVING\"}]}}"
      })
  void rejectsEventsThatCannotBeUsed(String text) {
    assertThatThrownBy(() -> EndpointListEvent.parse(text, NAMES)).isInstanceOf(IOException.class);
  }

  private static void await(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    for (int i = 0; i < 600 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Test
  void deliversEachEventOnceAndInOrderThroughBreaksRepeatsAndGaps() throws Exception {
    List<Long> received = new CopyOnWriteArrayList<>();
    EventStreamTestServer.StreamHandler behaviour =
        (connection, last, out) -> {
          if (connection == 0) { // cut in the middle of an event
            EventStreamTestServer.sendEvent(out, event(last + 1));
            out.write(
                ("data: " + event(last + 2).substring(0, 20)).getBytes(StandardCharsets.UTF_8));
            return false;
          }
          if (connection == 1) { // one event twice, and then one after a gap
            EventStreamTestServer.sendEvent(out, event(last));
            EventStreamTestServer.sendEvent(out, event(last + 1));
            EventStreamTestServer.sendEvent(out, event(last + 1));
            EventStreamTestServer.sendEvent(out, event(last + 3));
            return true;
          }
          if (connection == 2) {
            EventStreamTestServer.sendEvent(out, "{\"n\":\"nonsense\"}");
          }
          for (long sequence = last + 1; connection > 2 && sequence <= 6; sequence++) {
            EventStreamTestServer.sendEvent(out, event(sequence));
          }
          return connection > 2;
        };
    try (EventStreamTestServer feed = new EventStreamTestServer(behaviour);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                1,
                NAMES,
                event -> received.add(event.sequence()),
                line -> {})) {
      client.follow(feed.address());
      await(() -> received.size() >= 5);
      assertThat(received).containsExactly(2L, 3L, 4L, 5L, 6L);
      assertThat(feed.requestedEventIds()).startsWith(1L, 2L, 3L, 3L);
    }
  }

  @Test
  void reconnectsToASilentFeedAndResumesAtAnotherAddress() throws Exception {
    List<Long> received = new CopyOnWriteArrayList<>();
    EventStreamTestServer.StreamHandler silentAtFirst =
        (connection, last, out) -> {
          if (connection == 1) {
            EventStreamTestServer.sendEvent(out, event(last + 1));
          }
          return true; // and then says nothing
        };
    EventStreamTestServer.StreamHandler deliversOne =
        (connection, last, out) -> {
          EventStreamTestServer.sendEvent(out, event(last + 1));
          return true;
        };
    try (EventStreamTestServer firstFeed = new EventStreamTestServer(silentAtFirst);
        EventStreamTestServer secondFeed = new EventStreamTestServer(deliversOne);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                1,
                NAMES,
                event -> received.add(event.sequence()),
                line -> {})) {
      client.follow(firstFeed.address());
      await(() -> received.size() == 1); // on the second connection, as the first was silent
      assertThat(firstFeed.requestedEventIds()).containsExactly(1L, 1L);
      client.follow(secondFeed.address());
      await(() -> received.size() == 2);
      assertThat(secondFeed.requestedEventIds()).containsExactly(2L);
    }
  }

  /** Bytes of an event that never ends are no sign of life: the next connection's events count. */
  @Test
  void treatsAFeedWhoseEventNeverEndsAsSilent() throws Exception {
    List<Long> received = new CopyOnWriteArrayList<>();
    EventStreamTestServer.StreamHandler behaviour =
        (connection, last, out) -> {
          if (connection > 0) {
            EventStreamTestServer.sendEvent(out, event(last + 1));
            return true;
          }
          Thread trickler =
              new Thread(
                  () -> {
                    try {
                      out.write("data: ".getBytes(StandardCharsets.UTF_8));
                      for (int i = 0; i < 100; i++) {
                        out.write('x');
                        Thread.sleep(50);
                      }
                    } catch (IOException | InterruptedException e) {
                      return; // the client closed the connection
                    }
                  });
          trickler.setDaemon(true);
          trickler.start();
          return true;
        };
    try (EventStreamTestServer feed = new EventStreamTestServer(behaviour);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                1,
                NAMES,
                event -> received.add(event.sequence()),
                line -> {})) {
      client.follow(feed.address());
      long startedNanos = System.nanoTime();
      await(() -> received.size() == 1);
      assertThat((System.nanoTime() - startedNanos) / 1_000_000)
          .isLessThan(4000); // from the second connection
    }
  }

  /** Delivers so many further events, once it is released. */
  private static EventStreamTestServer.StreamHandler afterRelease(
      CountDownLatch release, int events) {
    return (connection, last, out) -> {
      try {
        release.await();
      } catch (InterruptedException e) {
        return false;
      }
      for (int i = 1; i <= events; i++) {
        EventStreamTestServer.sendEvent(out, event(last + i));
      }
      return true;
    };
  }

  /**
   * Moved by a new configuration to an address that has yet to deliver: the old one's events count.
   */
  @Test
  void deliversFromTheOldAddressUntilTheNewOneDelivers() throws Exception {
    List<Long> received = new CopyOnWriteArrayList<>();
    CountDownLatch release = new CountDownLatch(1);
    EventStreamTestServer.StreamHandler heartbeatOnly =
        (connection, last, out) -> {
          out.write(": beat\n\n".getBytes(StandardCharsets.UTF_8));
          return true;
        };
    EventStreamTestServer.StreamHandler deliversTwo =
        afterRelease(release, 2); // the old one delivers the first of them, too
    try (EventStreamTestServer oldFeed = new EventStreamTestServer(heartbeatOnly);
        EventStreamTestServer newFeed = new EventStreamTestServer(deliversTwo);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                1,
                NAMES,
                event -> received.add(event.sequence()),
                line -> {})) {
      client.follow(oldFeed.address());
      await(() -> oldFeed.requestedEventIds().size() == 1);
      oldFeed.sendEvent(event(2));
      await(() -> received.size() == 1);
      client.follow(newFeed.address());
      await(() -> newFeed.requestedEventIds().size() == 1);
      oldFeed.sendEvent(event(3));
      await(() -> received.size() == 2);
      release.countDown();
      await(() -> received.size() == 3);
      assertThat(received).containsExactly(2L, 3L, 4L);
      assertThat(oldFeed.awaitClientClose(0)).isTrue();
      assertThat(oldFeed.requestedEventIds()).hasSize(1);
      assertThat(newFeed.requestedEventIds()).containsExactly(2L);
    }
  }

  /**
   * The old address breaks off before the new one delivers: it is not asked again, the new one only
   * once.
   */
  @Test
  void survivesTheEndOfTheOldAddressBeforeTheNewOneDelivers() throws Exception {
    List<Long> received = new CopyOnWriteArrayList<>();
    CountDownLatch release = new CountDownLatch(1);
    EventStreamTestServer.StreamHandler deliversOne = afterRelease(release, 1);
    EventStreamTestServer oldFeed =
        new EventStreamTestServer(
            (connection, last, out) -> {
              out.write(": beat\n\n".getBytes(StandardCharsets.UTF_8));
              return true;
            });
    try (EventStreamTestServer newFeed = new EventStreamTestServer(deliversOne);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                1,
                NAMES,
                event -> received.add(event.sequence()),
                line -> {})) {
      client.follow(oldFeed.address());
      await(() -> oldFeed.requestedEventIds().size() == 1);
      oldFeed.sendEvent(event(2));
      await(() -> received.size() == 1);
      client.follow(newFeed.address());
      await(() -> newFeed.requestedEventIds().size() == 1);
      oldFeed.close();
      release.countDown();
      await(() -> received.size() == 2);
      assertThat(newFeed.requestedEventIds()).containsExactly(2L);
    }
  }

  /** A complete list under the number of the last event is the current one; an older one is not. */
  @Test
  void acceptsACompleteListUnderTheLastNumberAndNoOlderOne() throws Exception {
    List<String> received = new CopyOnWriteArrayList<>();
    EventStreamTestServer.StreamHandler behaviour =
        (connection, last, out) -> {
          EventStreamTestServer.sendEvent(
              out,
              EventStreamTestServer.endpointListEvent(
                  last - 1,
                  true,
                  EventStreamTestServer.endpoint("old", "127.0.0.1:7", "SERVING", 0)));
          EventStreamTestServer.sendEvent(
              out,
              EventStreamTestServer.endpointListEvent(
                  last,
                  true,
                  EventStreamTestServer.endpoint("same", "127.0.0.1:7", "DRAINING", 0)));
          EventStreamTestServer.sendEvent(
              out,
              EventStreamTestServer.endpointListEvent(
                  last,
                  false,
                  EventStreamTestServer.endpoint("told", "127.0.0.1:7", "SERVING", 0)));
          EventStreamTestServer.sendEvent(
              out,
              EventStreamTestServer.endpointListEvent(
                  last + 3,
                  true,
                  EventStreamTestServer.endpoint("ahead", "127.0.0.1:7", "SERVING", 0)));
          EventStreamTestServer.sendEvent(out, event(last + 4));
          return true;
        };
    try (EventStreamTestServer feed = new EventStreamTestServer(behaviour);
        NetworkTransport network = new NetworkTransport(1, "follow");
        EventStreamClient client =
            new EventStreamClient(
                new HttpClientConnector(network, null, 1 << 16),
                5,
                NAMES,
                event -> received.add(event.sequence() + event.updates().get(0).name()),
                line -> {})) {
      client.follow(feed.address());
      await(() -> received.size() == 3);
      assertThat(received).containsExactly("5same", "8ahead", "9w9");
      assertThat(feed.requestedEventIds()).containsExactly(5L); // a gap before a whole list is none
    }
  }
}
