package switchgap.testbed.soak;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;

/** Injects system call failures and wall-clock steps into a router. */
final class SystemCallFaultInjectors {
  /** One in this many calls fails if failures of all calls would block the router. */
  private static final int CALLS_PER_SPORADIC_FAILURE = 7;

  private static final long[] WALL_CLOCK_STEPS_MILLIS = {1000, -1000, 3_600_000, -3_600_000};

  /**
   * How system calls of one kind fail.
   *
   * @param call the system call
   * @param error error that it fails with
   * @param callsPerFailure one in this many calls fails
   */
  private record Failure(Call call, ErrorNumber error, int callsPerFailure) {}

  private static final Map<SoakFaultType, Failure> FAILURES =
      Map.of(
          SoakFaultType.ACCEPT_FAILS, new Failure(Call.ACCEPT, ErrorNumber.ENFILE, 1),
          SoakFaultType.CONNECT_FAILS, new Failure(Call.CONNECT, ErrorNumber.EADDRNOTAVAIL, 2),
          SoakFaultType.SOCKET_FAILS, new Failure(Call.SOCKET, ErrorNumber.EMFILE, 2),
          SoakFaultType.READ_INTERRUPTED,
              new Failure(Call.READ, ErrorNumber.EINTR, CALLS_PER_SPORADIC_FAILURE),
          SoakFaultType.WRITE_INTERRUPTED,
              new Failure(Call.WRITE, ErrorNumber.EINTR, CALLS_PER_SPORADIC_FAILURE),
          SoakFaultType.READ_SHORT,
              new Failure(Call.READ, ErrorNumber.SHORT, CALLS_PER_SPORADIC_FAILURE),
          SoakFaultType.WRITE_SHORT,
              new Failure(Call.WRITE, ErrorNumber.SHORT, CALLS_PER_SPORADIC_FAILURE));

  private final RouterPool routers;
  private final SoakRecords records;

  SystemCallFaultInjectors(RouterPool routers, SoakRecords records) {
    this.routers = routers;
    this.records = records;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    Map<SoakFaultType, SoakFaultInjector> injectors = new EnumMap<>(SoakFaultType.class);
    FAILURES.forEach(
        (type, failure) ->
            injectors.put(
                type,
                (fault, random) ->
                    failCalls(routers.pick(random), failure, fault.durationMillis())));
    injectors.put(SoakFaultType.WALL_CLOCK_STEP, (fault, random) -> stepWallClock(random));
    return injectors;
  }

  private void failCalls(ServeProcess router, Failure failure, int durationMillis)
      throws InterruptedException {
    if (failure.call() != Call.ACCEPT) {
      failCalls(router.systemCallFaults(), failure, durationMillis);
      return;
    }
    Outage outage =
        records.beginOutage(OutageCause.ACCEPT_FAILING, router.index(), System.nanoTime());
    failCalls(router.systemCallFaults(), failure, durationMillis);
    outage.end(System.nanoTime());
  }

  private static void failCalls(SystemCallFaults faults, Failure failure, int durationMillis)
      throws InterruptedException {
    faults.inject(failure.call(), failure.error(), failure.callsPerFailure());
    Thread.sleep(durationMillis);
    faults.inject(failure.call(), failure.error(), 0);
  }

  private void stepWallClock(Random random) {
    long stepMillis = WALL_CLOCK_STEPS_MILLIS[random.nextInt(WALL_CLOCK_STEPS_MILLIS.length)];
    routers.pick(random).systemCallFaults().setWallClockOffset(Duration.ofMillis(stepMillis));
  }
}
