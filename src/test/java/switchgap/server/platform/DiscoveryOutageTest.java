package switchgap.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A worker begins to drain while the event stream is unavailable. The platform treats the router as
 * notified of the drain, so the worker must not receive new work after the drain grace, and the
 * other workers serve the requests.
 */
class DiscoveryOutageTest extends PlatformFixture {
  /** How the event stream fails. */
  enum Outage {
    /** Its connection stays open and delivers nothing. */
    SILENT(Duration.ofSeconds(4)),
    /** Its connection is closed and new connections are refused. */
    REFUSES_CONNECTIONS(Duration.ofSeconds(2));

    /**
     * Time from the start of the outage until the platform treats the router as notified of
     * changes.
     */
    final Duration notifiedAfter;

    Outage(Duration notifiedAfter) {
      this.notifiedAfter = notifiedAfter;
    }
  }

  /**
   * Drain grace of the settings, plus the 50 ms that the platform adds to every limit on sockets.
   */
  private static final Duration DRAIN_GRACE = Duration.ofMillis(550);

  private static final Duration OBSERVATION_DURATION = Duration.ofSeconds(2);
  private static final int FUNCTION_COUNT = 12;
  private static final int REQUEST_INTERVAL_MILLIS = 5;

  private final DrainableWorker drainableHandler = new DrainableWorker();
  private RespTestServer drainedWorker;
  private volatile boolean isStreamSilent;
  private int submittedCount;

  /**
   * Replaces the fixture's event stream, which would confirm the endpoint list on every connection.
   */
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
    // Sends enough requests that each function gets a replica.
    for (int i = 0; i < FUNCTION_COUNT * 3; i++) {
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

  /**
   * Submits requests sequentially for a duration; returns the number of requests that did not
   * succeed.
   */
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
    assertThat(notServedCount).as("requests not served after the drain grace").isZero();
  }

  @ParameterizedTest
  @EnumSource(Outage.class)
  void sendsNoNewWorkToDrainingWorkerAfterDrainGrace(Outage outage) throws Exception {
    ThriftTestClient client = startWithThreeWorkers();
    isStreamSilent = true;
    if (outage == Outage.REFUSES_CONNECTIONS) {
      eventStream.close();
    }
    assertServedByOthersThroughOutage(client, outage.notifiedAfter);
  }

  /** A new process replaces the drained worker under the same name and address. */
  @Test
  void sendsRequestsToDrainedWorkerOnceItIsReadyAgain() throws Exception {
    ThriftTestClient client = startWithThreeWorkers();
    eventStream.close();
    drainableHandler.setDraining(true);
    submitFor(client, Outage.REFUSES_CONNECTIONS.notifiedAfter.plus(DRAIN_GRACE));
    drainableHandler.setDraining(false);
    long readyNanos = System.nanoTime();
    submitFor(client, OBSERVATION_DURATION.multipliedBy(2));
    assertThat(drainedWorker.executions())
        .filteredOn(command -> command.receivedNanos() > readyNanos)
        .as("requests at the worker after it is ready again")
        .isNotEmpty();
  }

  @Test
  void servesRequestsWhileEventStreamDeliversNothing() throws Exception {
    RespTestServer worker = RespTestServer.executingAll();
    startRouter(MANY_SOCKETS, worker);
    ThriftTestClient client = connectClient();
    isStreamSilent = true;
    assertThat(submitFor(client, OBSERVATION_DURATION.multipliedBy(2))).isZero();
  }
}
