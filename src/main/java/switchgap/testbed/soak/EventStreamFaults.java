package switchgap.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.process.ProcessSignal;

/** Injects faults of the event stream. Thread-safe: several may be active at a time. */
final class EventStreamFaults {
  /** Time for which the old address stays open after the event stream has moved. */
  private static final int OLD_ADDRESS_OPEN_MILLIS = 1500;

  private static final int MAX_FLEET_CHANGE_DELAY_MILLIS = 1000;

  private final List<ServeProcess> routers;
  private final EmulatedFleet fleet;
  private final SoakRecords records;
  private EventStreamEmulator current;

  /** Creates the injectors; {@code initial} is the event stream that routers were started with. */
  EventStreamFaults(
      List<ServeProcess> routers,
      EmulatedFleet fleet,
      EventStreamEmulator initial,
      SoakRecords records) {
    this.routers = routers;
    this.fleet = fleet;
    this.current = initial;
    this.records = records;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    return Map.of(
        SoakFaultType.FEED_MOVED,
        (fault, random) -> move(),
        SoakFaultType.FEED_SILENT,
        (fault, random) -> silence(fault.durationMillis()),
        SoakFaultType.FEED_CUT,
        (fault, random) -> cut(),
        SoakFaultType.FEED_WHOLE_LIST,
        (fault, random) -> fleet.publishCompleteList(),
        SoakFaultType.FEED_UNREACHABLE,
        (fault, random) -> failFor(fault.durationMillis(), random),
        SoakFaultType.FEED_OUTAGE,
        (fault, random) -> failWhileFleetChanges(fault.durationMillis(), random));
  }

  /** Current address of the event stream. */
  String address() {
    return current().address();
  }

  private synchronized EventStreamEmulator current() {
    return current;
  }

  private synchronized void replaceCurrent(EventStreamEmulator replacement) {
    current = replacement;
  }

  private void move() throws IOException, InterruptedException {
    EventStreamEmulator old = current();
    EventStreamEmulator moved = new EventStreamEmulator(fleet.events());
    replaceCurrent(moved);
    Outage outage = beginOutage(OutageCause.EVENT_STREAM);
    for (ServeProcess router : routers) {
      synchronized (router) {
        if (router.isInRotation()) {
          router.configure(moved.address(), fleet.events());
          router.signal(ProcessSignal.HUP);
        }
      }
    }
    Thread.sleep(OLD_ADDRESS_OPEN_MILLIS);
    old.close();
    outage.end(System.nanoTime());
  }

  private Outage beginOutage(OutageCause cause) {
    return records.beginOutage(cause, Outage.ALL_ROUTERS, System.nanoTime());
  }

  /** Makes the event stream unavailable by a random kind of failure. */
  private void failFor(int durationMillis, Random random) throws IOException, InterruptedException {
    FailedStream failedStream = fail(random);
    Thread.sleep(durationMillis);
    failedStream.recover();
  }

  private FailedStream fail(Random random) throws IOException {
    EventStreamEmulator.Failure[] failures = EventStreamEmulator.Failure.values();
    EventStreamEmulator.Failure failure = failures[1 + random.nextInt(failures.length - 1)];
    EventStreamEmulator failing = current();
    Outage outage =
        beginOutage(
            failure.endsConnections() ? OutageCause.EVENT_STREAM_BROKEN : OutageCause.EVENT_STREAM);
    failing.fail(failure);
    return new FailedStream(failing, outage);
  }

  /** An unavailable event stream and the record of its outage. */
  private record FailedStream(EventStreamEmulator stream, Outage outage) {
    void recover() throws IOException {
      stream.recover();
      outage.end(System.nanoTime());
    }
  }

  /**
   * Makes the event stream unavailable. During the outage one worker drains and is replaced, a
   * second one restarts and a third one restarts at another port.
   */
  private void failWhileFleetChanges(int durationMillis, Random random)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    FailedStream failedStream = fail(random);
    WorkerRestarts restarts = new WorkerRestarts(fleet);
    Thread.sleep(random.nextInt(MAX_FLEET_CHANGE_DELAY_MILLIS));
    WorkerEmulator replaced = fleet.replace(random.nextInt());
    restarts.restart(random, false);
    restarts.restart(random, true);
    Sleep.until(startNanos, durationMillis);
    failedStream.recover();
    fleet.remove(replaced);
  }

  private void silence(int durationMillis) throws InterruptedException {
    EventStreamEmulator silenced = current();
    Outage outage = beginOutage(OutageCause.EVENT_STREAM);
    silenced.setSilent(true);
    Thread.sleep(durationMillis);
    silenced.setSilent(false);
    outage.end(System.nanoTime());
  }

  private void cut() {
    Outage outage = beginOutage(OutageCause.EVENT_STREAM_BROKEN);
    current().cutConnections();
    outage.end(System.nanoTime());
  }
}
