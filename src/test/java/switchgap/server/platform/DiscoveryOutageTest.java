package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A worker begins to drain while the event stream is out of reach: what the stream would have told
 * counts as notified, so the worker gets nothing new past the grace, and requests are served by the
 * others.
 */
class DiscoveryOutageTest extends PlatformFixture {
  /** How the stream is out of reach. */
  enum Outage {
    /** Its connection stays open and delivers nothing. */
    SILENT(Duration.ofSeconds(4)),
    /** Its connection ends and no other one is accepted. */
    REFUSES_CONNECTIONS(Duration.ofSeconds(2));

    /** What the stream would have told counts as notified after this, on the platform. */
    final Duration notifiedAfter;

    Outage(Duration notifiedAfter) {
      this.notifiedAfter = notifiedAfter;
    }
  }

  /** The grace of the settings, and the 50 ms by which every limit is longer on sockets. */
  private static final Duration DRAIN_GRACE = Duration.ofMillis(550);

  private static final Duration OBSERVATION_DURATION = Duration.ofSeconds(2);
  private static final int FUNCTION_COUNT = 12;
  private static final int REQUEST_INTERVAL_MILLIS = 5;

  private final DrainableWorker drainableHandler = new DrainableWorker();
  private RespTestServer drainedWorker;
  private volatile boolean isStreamSilent;
  private int submittedCount;

  /** The stream of the fixture, which would confirm the list at each request. */
  @BeforeEach
  void replaceEventStream() throws Exception {
    eventStream.close();
    eventStream =
        new EventStreamTestServer(
            (connection, lastEventId, output) ->
                isStreamSilent
                    || EventStreamTestServer.sendHeartbeat(connection, lastEventId, output));
    resources.add(eventStream);
  }

  private ThriftTestClient startWithThreeWorkers() throws Exception {
    drainedWorker = new RespTestServer(drainableHandler);
    startRouter(
        MANY_SOCKETS, drainedWorker, RespTestServer.executingAll(), RespTestServer.executingAll());
    await(() -> eventStream.hasClient());
    ThriftTestClient client = connectClient();
    for (int i = 0; i < FUNCTION_COUNT * 3; i++) { // until each function has a replica
      eventStream.sendHeartbeats();
      submit(client);
    }
    assertThat(drainedWorker.executions()).isNotEmpty();
    return client;
  }

  private ReplyOutcome submit(ThriftTestClient client) throws Exception {
    submittedCount++;
    client.submit(
        submittedCount,
        TestSubmit.idempotent(nextId()).function(submittedCount % FUNCTION_COUNT + 1));
    ReplyOutcome outcome = client.receiveReply().outcome();
    Thread.sleep(REQUEST_INTERVAL_MILLIS);
    return outcome;
  }

  /** Submits requests one after the other for a time; returns the number that was not served. */
  private int submitFor(ThriftTestClient client, Duration duration) throws Exception {
    long endNanos = System.nanoTime() + duration.toNanos();
    int notServedCount = 0;
    while (System.nanoTime() < endNanos) {
      notServedCount += submit(client) == ReplyOutcome.SUCCEEDED ? 0 : 1;
    }
    return notServedCount;
  }

  private void assertNothingNewAtDrainedWorkerAfter(long nanos) {
    assertThat(drainedWorker.received())
        .filteredOn(command -> command.receivedNanos() > nanos)
        .filteredOn(DiscoveryOutageTest::isNewWork)
        .isEmpty();
  }

  private static boolean isNewWork(RespTestServer.Command command) {
    return command.isExecution()
        || (command.name().equals(RespTestServer.LOAD) && !DrainableWorker.isQuery(command));
  }

  private void assertServedByOthersThroughOutage(ThriftTestClient client, Duration notifiedAfter)
      throws Exception {
    Duration forbiddenAfter = notifiedAfter.plus(DRAIN_GRACE);
    long outageStartNanos = System.nanoTime();
    drainableHandler.setDraining(true);
    submitFor(client, forbiddenAfter);
    int notServedCount = submitFor(client, OBSERVATION_DURATION);
    assertNothingNewAtDrainedWorkerAfter(outageStartNanos + forbiddenAfter.toNanos());
    assertThat(notServedCount).as("requests not served once the drain is known").isZero();
  }

  @ParameterizedTest
  @EnumSource(Outage.class)
  void sendsNothingToWorkerThatDrains(Outage outage) throws Exception {
    ThriftTestClient client = startWithThreeWorkers();
    isStreamSilent = true;
    if (outage == Outage.REFUSES_CONNECTIONS) {
      eventStream.close();
    }
    assertServedByOthersThroughOutage(client, outage.notifiedAfter);
  }

  /** The worker that drained has ended, and a new process listens under its name and address. */
  @Test
  void usesWorkerThatRepliesReadyAgain() throws Exception {
    ThriftTestClient client = startWithThreeWorkers();
    eventStream.close();
    drainableHandler.setDraining(true);
    submitFor(client, Outage.REFUSES_CONNECTIONS.notifiedAfter.plus(DRAIN_GRACE));
    drainableHandler.setDraining(false);
    long readyNanos = System.nanoTime();
    submitFor(client, OBSERVATION_DURATION.multipliedBy(2));
    assertThat(drainedWorker.executions())
        .filteredOn(command -> command.receivedNanos() > readyNanos)
        .as("requests at the worker that is ready again")
        .isNotEmpty();
  }

  @Test
  void servesWhileStreamDeliversNothing() throws Exception {
    RespTestServer worker = RespTestServer.executingAll();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    isStreamSilent = true;
    assertThat(submitFor(client, OBSERVATION_DURATION.multipliedBy(2))).isZero();
  }
}
