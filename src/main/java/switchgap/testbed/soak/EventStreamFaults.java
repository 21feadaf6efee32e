package switchgap.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import switchgap.testbed.process.ProcessSignal;

/** Faults of the event stream. Thread-safe: several may be active at a time. */
final class EventStreamFaults {
  /** How long the old address of a moved event stream stays open. */
  private static final int OLD_ADDRESS_MILLIS = 1500;

  private static final int MAX_FLEET_CHANGE_DELAY_MILLIS = 1000;

  private final List<ServeProcess> routers;
  private final EmulatedFleet fleet;
  private final SoakRecords records;
  private EventStreamEmulator current;

  /** The event stream is at the address that the routers were started with. */
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
        (fault, random) -> fleet.publishAll(),
        SoakFaultType.FEED_UNREACHABLE,
        (fault, random) -> failFor(fault.durationMillis(), random),
        SoakFaultType.FEED_OUTAGE,
        (fault, random) -> failWhileFleetChanges(fault.durationMillis(), random));
  }

  /** The address of the event stream at present. */
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
    Thread.sleep(OLD_ADDRESS_MILLIS);
    old.close();
    outage.endedAt(System.nanoTime());
  }

  private Outage beginOutage(OutageCause cause) {
    return records.beginOutage(cause, Outage.ALL_ROUTERS, System.nanoTime());
  }

  /** The stream is out of reach in one of the ways there are. */
  private void failFor(int millis, Random random) throws IOException, InterruptedException {
    FailedStream failed = fail(random);
    Thread.sleep(millis);
    failed.recover();
  }

  private FailedStream fail(Random random) throws IOException {
    EventStreamEmulator.Failure[] ways = EventStreamEmulator.Failure.values();
    EventStreamEmulator.Failure how = ways[1 + random.nextInt(ways.length - 1)];
    EventStreamEmulator failing = current();
    Outage outage =
        beginOutage(how.isBreak() ? OutageCause.EVENT_STREAM_BROKEN : OutageCause.EVENT_STREAM);
    failing.fail(how);
    return new FailedStream(failing, outage);
  }

  /** A stream that is out of reach, and the record of it. */
  private record FailedStream(EventStreamEmulator stream, Outage outage) {
    void recover() throws IOException {
      stream.recover();
      outage.endedAt(System.nanoTime());
    }
  }

  /**
   * The stream is out of reach, while a worker drains and is replaced, another one restarts and a
   * third one moves.
   */
  private void failWhileFleetChanges(int millis, Random random)
      throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    FailedStream failed = fail(random);
    WorkerRestarts restarts = new WorkerRestarts(fleet);
    Thread.sleep(random.nextInt(MAX_FLEET_CHANGE_DELAY_MILLIS));
    WorkerEmulator replaced = fleet.replace(random.nextInt());
    restarts.restart(random, false);
    restarts.restart(random, true);
    Sleep.until(startNanos, millis);
    failed.recover();
    fleet.remove(replaced);
  }

  private void silence(int millis) throws InterruptedException {
    EventStreamEmulator silenced = current();
    Outage outage = beginOutage(OutageCause.EVENT_STREAM);
    silenced.setSilent(true);
    Thread.sleep(millis);
    silenced.setSilent(false);
    outage.endedAt(System.nanoTime());
  }

  private void cut() {
    Outage outage = beginOutage(OutageCause.EVENT_STREAM_BROKEN);
    current().cutConnections();
    outage.endedAt(System.nanoTime());
  }
}
