package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.WorkerState;
import switchgap.router.SocketCoreFixture.Result;
import switchgap.server.gateway.HttpTestServer;

/**
 * Tests the core and its connections to workers on real sockets. The tests make the policy's
 * decisions.
 */
class WorkerConnectionsTest {
  @Test
  void rejectsWaitingAttemptsAtOnceWhenTheWorkerDrains() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::silent)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      fixture.startRequest();
      fixture.awaitWithin(2000, () -> worker.inferenceRequestCount() == 1);
      int waitingRequest = fixture.startRequest();

      fixture.receiveWorker(worker.port(), WorkerState.DRAINING);

      fixture.awaitResultWithin(300, Result.attempt(waitingRequest, AttemptOutcome.NOT_SENT));
      assertThat(worker.inferenceRequestCount()).isEqualTo(1);
      // The connection can be used again when the worker is ready again.
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      worker.setResponder(HttpTestServer::echo);
      fixture.decide(actions -> actions.probe(SocketCoreFixture.WORKER));
      fixture.awaitResultWithin(1000, Result.probe(AttemptOutcome.SUCCEEDED));
    }
  }

  /**
   * Guards against a repeat that waits for a connection and is sent after workers have forgotten
   * the request, so that it is executed twice (review case 3). It ends at the limit, not when a
   * connection is free.
   */
  @Test
  void endsAWaitingAttemptAtTheLimitOfItsRequest() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::silent)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      fixture.startRequest();
      fixture.awaitWithin(2000, () -> worker.inferenceRequestCount() == 1);

      int repeat = fixture.startRequestAttemptedWithin(Duration.ofMillis(100));

      fixture.awaitResultWithin(1000, Result.attempt(repeat, AttemptOutcome.NOT_SENT));
      assertThat(worker.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void sendsNoAttemptPastTheLimitOfItsRequestOnAFreeConnection() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::echo)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      int first = fixture.startRequest();
      fixture.awaitResultWithin(2000, Result.attempt(first, AttemptOutcome.SUCCEEDED));

      int repeat = fixture.startRequestAttemptedWithin(Duration.ZERO);

      fixture.awaitResultWithin(1000, Result.attempt(repeat, AttemptOutcome.NOT_SENT));
      assertThat(worker.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void sendsNoWaitingAttemptToTheFormerAddressOfAWorker() throws Exception {
    HttpTestServer.Responder slowEcho =
        (received, out) -> {
          Thread.sleep(300);
          return HttpTestServer.echo(received, out);
        };
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer formerAddress = new HttpTestServer(slowEcho);
        HttpTestServer newAddress = new HttpTestServer(HttpTestServer::echo)) {
      fixture.receiveWorker(formerAddress.port(), WorkerState.READY);
      int requestInFlight = fixture.startRequest();
      fixture.awaitWithin(2000, () -> formerAddress.inferenceRequestCount() == 1);
      int waitingRequest = fixture.startRequest();

      fixture.receiveWorker(newAddress.port(), WorkerState.READY);

      fixture.awaitResultWithin(200, Result.attempt(waitingRequest, AttemptOutcome.NOT_SENT));
      fixture.awaitResultWithin(2000, Result.attempt(requestInFlight, AttemptOutcome.SUCCEEDED));
      assertThat(formerAddress.inferenceRequestCount()).isEqualTo(1);
      int requestAfterMove = fixture.startRequest();
      fixture.awaitResultWithin(2000, Result.attempt(requestAfterMove, AttemptOutcome.SUCCEEDED));
      assertThat(newAddress.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void failsAllAttemptsAtAClosedPortWhenMoreWaitThanConnectionsAreAllowed() throws Exception {
    int closedPort;
    try (HttpTestServer closed = new HttpTestServer(HttpTestServer::silent)) {
      closedPort = closed.port();
    }
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(2)) {
      fixture.receiveWorker(closedPort, WorkerState.READY);

      for (int i = 0; i < 6; i++) {
        fixture.startRequest();
      }

      fixture.awaitWithin(2000, () -> fixture.results().size() == 6);
      assertThat(fixture.results())
          .allMatch(result -> result.outcome() == AttemptOutcome.CONNECT_FAILED);
    }
  }

  @Test
  void rejectsAnAttemptAtOnceWhenTooManyWaitForAConnection() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnectionsAndWaiting(1, 3);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::silent)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      fixture.startRequest();
      fixture.awaitWithin(2000, () -> worker.inferenceRequestCount() == 1);
      for (int i = 0; i < 3; i++) {
        fixture.startRequest();
      }
      Duration observationTime = Duration.ofMillis(100);
      assertThat(fixture.tickUntil(observationTime, () -> !fixture.results().isEmpty())).isFalse();

      int attemptOverLimit = fixture.startRequest();

      fixture.awaitResultWithin(300, Result.attempt(attemptOverLimit, AttemptOutcome.NOT_SENT));
    }
  }

  @Test
  void reportsConnectFailedOnceForEachExchangeWithAnInvalidAddress() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(2)) {
      fixture.receiveWorker("::g", 80, WorkerState.READY);

      int request = fixture.startRequest();
      fixture.decide(actions -> actions.probe(SocketCoreFixture.WORKER));
      fixture.decide(actions -> actions.load(SocketCoreFixture.WORKER, SocketCoreFixture.FUNCTION));

      fixture.awaitWithin(300, () -> fixture.results().size() == 3);
      assertThat(fixture.results())
          .containsExactlyInAnyOrder(
              Result.attempt(request, AttemptOutcome.CONNECT_FAILED),
              Result.probe(AttemptOutcome.CONNECT_FAILED),
              Result.load(AttemptOutcome.CONNECT_FAILED));
    }
  }

  @Test
  void releasesTheConnectionOfAnUnloadThatTimesOut() throws Exception {
    HttpTestServer.Responder silentToUnloads =
        (received, out) ->
            received.line().contains("/unload")
                ? HttpTestServer.silent(received, out)
                : HttpTestServer.echo(received, out);
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer worker = new HttpTestServer(silentToUnloads)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      fixture.startRequest();
      fixture.decide(
          actions -> actions.unload(SocketCoreFixture.WORKER, SocketCoreFixture.FUNCTION));
      fixture.awaitWithin(2000, () -> hasReceivedUnload(worker));

      Duration timeoutWithMargin = SocketCoreFixture.COMMAND_TIMEOUT.plusMillis(200);
      assertThat(fixture.tickUntil(timeoutWithMargin, () -> false)).isFalse();

      assertThat(probeSucceedsEventually(fixture)).isTrue();
    }
  }

  private static boolean hasReceivedUnload(HttpTestServer worker) {
    return worker.receivedRequests().stream()
        .anyMatch(received -> received.line().contains("/unload"));
  }

  /** Sends probes until one succeeds, because a single probe may time out on a busy machine. */
  private static boolean probeSucceedsEventually(SocketCoreFixture fixture)
      throws InterruptedException {
    Result success = Result.probe(AttemptOutcome.SUCCEEDED);
    Duration timeoutWithMargin = SocketCoreFixture.PROBE_TIMEOUT.plusMillis(50);
    for (int i = 0; i < 120 && !fixture.hasResult(success); i++) {
      fixture.decide(actions -> actions.probe(SocketCoreFixture.WORKER));
      fixture.tickUntil(timeoutWithMargin, () -> fixture.hasResult(success));
    }
    return fixture.hasResult(success);
  }

  @Test
  void closesConnectionsOfAWorkerWhoseAddressChangedOrThatWasRemoved() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(4);
        HttpTestServer firstAddress = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer secondAddress = new HttpTestServer(HttpTestServer::echo)) {
      // The worker's name moves between two processes.
      for (int i = 0; i < 6; i++) {
        HttpTestServer address = i % 2 == 0 ? firstAddress : secondAddress;
        fixture.receiveWorker(address.port(), WorkerState.READY);
        int request = fixture.startRequest();
        fixture.awaitResultWithin(2000, Result.attempt(request, AttemptOutcome.SUCCEEDED));
      }
      assertThat(fixture.connectionPools()).hasSizeLessThanOrEqualTo(2);
      fixture.awaitWithin(1000, () -> firstAddress.openConnections() == 0);

      fixture.decide(actions -> actions.releaseWorker(SocketCoreFixture.WORKER));
      fixture.tick();

      assertThat(fixture.connectionPools()).isEmpty();
      fixture.awaitWithin(1000, () -> secondAddress.openConnections() == 0);
    }
  }
}
