package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.WorkerState;
import switchgap.router.SocketCoreFixture.Result;
import switchgap.server.gateway.HttpTestServer;

/** The core and its connections to workers on real sockets, under decisions of the test. */
class WorkerConnectionsTest {
  @Test
  void rejectsWaitingAttemptsAtOnceWhenTheWorkerDrains() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(1);
        HttpTestServer worker = new HttpTestServer(HttpTestServer::silent)) {
      fixture.receiveWorker(worker.port(), WorkerState.READY);
      fixture.startRequest();
      fixture.awaitWithin(2000, () -> worker.inferenceRequestCount() == 1);
      int waiting = fixture.startRequest();

      fixture.receiveWorker(worker.port(), WorkerState.DRAINING);

      fixture.awaitResultWithin(300, Result.attempt(waiting, AttemptOutcome.NOT_SENT));
      assertThat(worker.inferenceRequestCount()).isEqualTo(1);
      fixture.receiveWorker(worker.port(), WorkerState.READY); // and its connection serves again
      worker.setResponder(HttpTestServer::echo);
      fixture.decide(actions -> actions.probe(SocketCoreFixture.WORKER));
      fixture.awaitResultWithin(1000, Result.probe(AttemptOutcome.SUCCEEDED));
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
      int inFlight = fixture.startRequest();
      fixture.awaitWithin(2000, () -> formerAddress.inferenceRequestCount() == 1);
      int waiting = fixture.startRequest();

      fixture.receiveWorker(newAddress.port(), WorkerState.READY);

      fixture.awaitResultWithin(200, Result.attempt(waiting, AttemptOutcome.NOT_SENT));
      fixture.awaitResultWithin(2000, Result.attempt(inFlight, AttemptOutcome.SUCCEEDED));
      assertThat(formerAddress.inferenceRequestCount()).isEqualTo(1);
      int next = fixture.startRequest();
      fixture.awaitResultWithin(2000, Result.attempt(next, AttemptOutcome.SUCCEEDED));
      assertThat(newAddress.inferenceRequestCount()).isEqualTo(1);
    }
  }

  @Test
  void failsAllAttemptsToConnectWhenMoreThanTheConnectionsWaitForAClosedPort() throws Exception {
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
      Duration shortWhile = Duration.ofMillis(100);
      assertThat(fixture.tickUntil(shortWhile, () -> !fixture.results().isEmpty())).isFalse();

      int tooMany = fixture.startRequest();

      fixture.awaitResultWithin(300, Result.attempt(tooMany, AttemptOutcome.NOT_SENT));
    }
  }

  @Test
  void failsToConnectToAnInvalidAddressAndNothingElseEnds() throws Exception {
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

      Duration pastTheTimeout = SocketCoreFixture.COMMAND_TIMEOUT.plusMillis(200);
      assertThat(fixture.tickUntil(pastTheTimeout, () -> false)).isFalse();

      assertThat(probeSucceedsOnABusyMachine(fixture)).isTrue();
    }
  }

  private static boolean hasReceivedUnload(HttpTestServer worker) {
    return worker.receivedRequests().stream()
        .anyMatch(received -> received.line().contains("/unload"));
  }

  /** A busy machine may take longer than one probe's timeout: probes until one succeeds. */
  private static boolean probeSucceedsOnABusyMachine(SocketCoreFixture fixture)
      throws InterruptedException {
    Result success = Result.probe(AttemptOutcome.SUCCEEDED);
    Duration pastTheTimeout = SocketCoreFixture.PROBE_TIMEOUT.plusMillis(50);
    for (int i = 0; i < 120 && !fixture.hasResult(success); i++) {
      fixture.decide(actions -> actions.probe(SocketCoreFixture.WORKER));
      fixture.tickUntil(pastTheTimeout, () -> fixture.hasResult(success));
    }
    return fixture.hasResult(success);
  }

  @Test
  void closesAndForgetsConnectionsOfAWorkerThatMovedOrIsForgotten() throws Exception {
    try (SocketCoreFixture fixture = SocketCoreFixture.withConnections(4);
        HttpTestServer firstAddress = new HttpTestServer(HttpTestServer::echo);
        HttpTestServer secondAddress = new HttpTestServer(HttpTestServer::echo)) {
      for (int i = 0; i < 6; i++) { // a name that moves between two processes
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
