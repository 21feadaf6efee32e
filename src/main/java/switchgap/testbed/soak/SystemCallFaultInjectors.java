package switchgap.testbed.soak;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.soak.SystemCallFaults.Call;
import switchgap.testbed.soak.SystemCallFaults.ErrorNumber;

/** Faults of the system calls of one router, among them wrong wall-clock time. */
final class SystemCallFaultInjectors {
  /** One call in so many fails, where a failure of each call would stop all progress. */
  private static final int SOME_CALLS = 7;

  private static final long[] WALL_CLOCK_STEPS_MILLIS = {1000, -1000, 3_600_000, -3_600_000};

  /**
   * How system calls of one kind fail.
   *
   * @param call the system call
   * @param error that it fails with
   * @param every one call in so many fails
   */
  private record Failure(Call call, ErrorNumber error, int every) {}

  private static final Map<SoakFaultType, Failure> FAILURES =
      Map.of(
          SoakFaultType.ACCEPT_FAILS, new Failure(Call.ACCEPT, ErrorNumber.ENFILE, 1),
          SoakFaultType.CONNECT_FAILS, new Failure(Call.CONNECT, ErrorNumber.EADDRNOTAVAIL, 2),
          SoakFaultType.SOCKET_FAILS, new Failure(Call.SOCKET, ErrorNumber.EMFILE, 2),
          SoakFaultType.READ_INTERRUPTED, new Failure(Call.READ, ErrorNumber.EINTR, SOME_CALLS),
          SoakFaultType.WRITE_INTERRUPTED, new Failure(Call.WRITE, ErrorNumber.EINTR, SOME_CALLS),
          SoakFaultType.READ_SHORT, new Failure(Call.READ, ErrorNumber.SHORT, SOME_CALLS),
          SoakFaultType.WRITE_SHORT, new Failure(Call.WRITE, ErrorNumber.SHORT, SOME_CALLS));

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
                    failCalls(routers.draw(random), failure, fault.durationMillis())));
    injectors.put(SoakFaultType.WALL_CLOCK_STEP, (fault, random) -> stepWallClock(random));
    return injectors;
  }

  private void failCalls(ServeProcess router, Failure failure, int millis)
      throws InterruptedException {
    if (failure.call() != Call.ACCEPT) {
      failCalls(router.systemCallFaults(), failure, millis);
      return;
    }
    Outage outage =
        records.beginOutage(OutageCause.ACCEPT_FAILING, router.index(), System.nanoTime());
    failCalls(router.systemCallFaults(), failure, millis);
    outage.endedAt(System.nanoTime());
  }

  private static void failCalls(SystemCallFaults faults, Failure failure, int millis)
      throws InterruptedException {
    faults.inject(failure.call(), failure.error(), failure.every());
    Thread.sleep(millis);
    faults.inject(failure.call(), failure.error(), 0);
  }

  private void stepWallClock(Random random) {
    long step = WALL_CLOCK_STEPS_MILLIS[random.nextInt(WALL_CLOCK_STEPS_MILLIS.length)];
    routers.draw(random).systemCallFaults().setWallClockOffset(Duration.ofMillis(step));
  }
}
