package switchgap.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import switchgap.config.YamlDocument;
import switchgap.config.YamlRouterSettings;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;
import switchgap.policy.api.WorkerState;
import switchgap.testing.ReachableObjects;

/**
 * The core under the module for simulated days: workers replaced by others for ever, functions
 * asked for once, clients that leave.
 */
class RouterCoreLongRunTest implements WorkerTransport, ResponseListener {
  private static final String TERMS =
      """
      router: {number: 0, of: 3, tick: 5ms, executions: 3}
      workloads:
        again: {start_target: 300ms, time_limit: 2s, repeat: restartable}
        once: {start_target: 300ms, time_limit: 2s, repeat: run-once}
      functions: {"f*": {workload: again, memory: 1, lanes: 4}}
      workers: {miss: answers, orders: true, keep_alive: 10s}
      prices: {memory: 0.05}
      """;
  private final TreeMap<Duration, List<Consumer<RouterCore>>> due = new TreeMap<>();
  private final SplittableRandom draw = new SplittableRandom(3);
  private final RouterCore core =
      new RouterCore(
          new YamlRouterSettings(YamlDocument.read("t", TERMS)),
          1,
          this,
          new CoreLimits(Duration.ofSeconds(10), Duration.ofMillis(250), 500));
  private final List<String> fleet = new ArrayList<>(List.of("w0", "w1", "w2", "w3"));
  private Duration now = Duration.ZERO;
  private int names = 4, taken, answers, overdue, refused, left;

  private void later(long millis, Consumer<RouterCore> e) {
    due.computeIfAbsent(now.plusMillis(millis), t -> new ArrayList<>()).add(e);
  }

  private void until(Duration end) {
    while (true) {
      Duration a = due.isEmpty() ? null : due.firstKey();
      Duration b = core.nextDue();
      Duration next = a == null || (b != null && b.compareTo(a) < 0) ? b : a;
      if (next == null || next.compareTo(end) > 0) {
        return;
      }
      now = next.compareTo(now) < 0 ? now : next;
      List<Consumer<RouterCore>> events = new ArrayList<>();
      while (!due.isEmpty() && due.firstKey().compareTo(now) <= 0) {
        events.addAll(due.pollFirstEntry().getValue());
      }
      core.tick(now, events);
    }
  }

  private void list(RouterCore core) {
    List<EndpointUpdate> lines = new ArrayList<>();
    for (String name : fleet) {
      lines.add(
          new EndpointUpdate(
              name, "h", 1 + draw.nextInt(3) / 2, WorkerState.READY, 0, 0, 0, 1, null));
    }
    core.endpointListReceived(true, lines);
  }

  private void call(RouterCore core) {
    String function =
        draw.nextInt(4) == 0 ? "f-once-" + draw.nextInt(1_000_000) : "f" + draw.nextInt(20);
    PendingRequest call =
        PendingRequest.builder("c", function, now.plusMillis(300 + draw.nextInt(1700)), this)
            .requestClass(draw.nextInt(2))
            .replica(1, 4)
            .build();
    if (!core.accept(call)) {
      refused++;
      return;
    }
    taken++;
    if (draw.nextInt(30) == 0) {
      later(
          draw.nextInt(200),
          router -> {
            left += call.state() == PendingRequest.State.PENDING ? 1 : 0;
            router.requestCancelled(call);
          });
    }
  }

  private void hours(int n) {
    long span = n * 3_600_000L;
    for (long time = 1; time < span; time += 1 + draw.nextInt(2000)) {
      later(time, this::call);
    }
    for (long time = 1; time < span; time += 20_000 + draw.nextInt(40_000)) {
      later(
          time,
          core -> {
            fleet.remove(draw.nextInt(fleet.size()));
            fleet.add("w" + names++);
            list(core);
          });
    }
    until(now.plusMillis(span + 60_000));
  }

  @Test
  void nothingOfWhatHasGoneIsKept() {
    later(0, this::list);
    hours(12);
    long after = ReachableObjects.by(core, this);
    hours(36);
    assertThat(names).isGreaterThan(3000);
    assertThat(ReachableObjects.by(core, this)).isLessThan(after + 300);
    assertThat(core.pendingRequests()).isZero();
    assertThat(core.unsettledRequests()).isZero();
    assertThat(answers + overdue + left).isEqualTo(taken);
    assertThat(overdue).isZero();
    assertThat(refused).isZero();
    assertThat(
            ((NameIndex)
                    ReachableObjects.field(ReachableObjects.field(core, "requests"), "functions"))
                .size())
        .isLessThan(60);
    assertThat(
            (Map<?, ?>) ReachableObjects.field(ReachableObjects.field(core, "endpoints"), "byName"))
        .hasSizeLessThan(8);
  }

  // ---- the seam

  @Override
  public void startAttempt(Attempt run, Duration allow) {
    AttemptOutcome end =
        draw.nextInt(5) > 0
            ? AttemptOutcome.SUCCEEDED
            : AttemptOutcome.values()[draw.nextInt(AttemptOutcome.values().length)];
    if (end == AttemptOutcome.TIMED_OUT) {
      return;
    } // never answers
    later(
        1 + draw.nextInt(400),
        core ->
            core.attemptEnded(
                run, end, LoadReport.NONE, Response.succeeded(200, Map.of(), new byte[0])));
  }

  @Override
  public AttemptOutcome abandon(Attempt run) {
    return AttemptOutcome.TIMED_OUT;
  }

  @Override
  public void requestReplicas(
      WorkerEntry worker, String function, int copies, WorkerCommand command) {
    if (draw.nextInt(20) == 0) {
      return;
    } // never ends by itself
    later(
        1 + draw.nextInt(2000),
        core -> core.loadCommandEnded(command, AttemptOutcome.SUCCEEDED, 1));
  }

  @Override
  public void unload(WorkerEntry worker, String function, WorkerCommand order) {
    if (draw.nextBoolean()) {
      later(5, core -> core.unloadEnded(order));
    }
  }

  @Override
  public void probe(WorkerEntry worker, WorkerCommand order) {
    later(2, core -> core.probeEnded(order, AttemptOutcome.SUCCEEDED, LoadReport.NONE));
  }

  @Override
  public void abandon(WorkerCommand order) {}

  @Override
  public void requestEndpointList() {}

  @Override
  public void responded(PendingRequest request, Response response) {
    answers++;
  }

  @Override
  public void deadlineMissed(PendingRequest request, Response late) {
    overdue++;
  }
}
