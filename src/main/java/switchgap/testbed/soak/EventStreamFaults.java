package switchgap.testbed.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import switchgap.testbed.process.ProcessSignal;

/** Faults of the event stream. Thread-safe: several may be active at a time. */
final class EventStreamFaults {
  /** How long the old address of a moved event stream stays open. */
  private static final int OLD_ADDRESS_MILLIS = 1500;

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
        (fault, random) -> fleet.publishAll());
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
    Outage outage = beginOutage();
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

  private Outage beginOutage() {
    return records.beginOutage(OutageCause.EVENT_STREAM, Outage.ALL_ROUTERS, System.nanoTime());
  }

  private void silence(int millis) throws InterruptedException {
    EventStreamEmulator silenced = current();
    Outage outage = beginOutage();
    silenced.setSilent(true);
    Thread.sleep(millis);
    silenced.setSilent(false);
    outage.endedAt(System.nanoTime());
  }

  private void cut() {
    Outage outage = beginOutage();
    current().cutConnections();
    outage.endedAt(System.nanoTime());
  }
}
