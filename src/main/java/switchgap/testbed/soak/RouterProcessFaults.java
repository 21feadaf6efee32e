package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import switchgap.testbed.process.ProcessSignal;

/** Faults of router processes: restarts, kills and pauses. */
final class RouterProcessFaults {
  /** Clients go on sending for so long after SIGTERM; the platform's own figure is 0.6 s. */
  private static final int ROTATION_MILLIS = 500;

  private static final int MAX_ROUTERS_AT_ONCE = 4;

  // The platform's figures of a planned restart.
  private static final int NEW_CONNECTIONS_MILLIS = 400;
  private static final int MAX_ASSUMED_TIMEOUT_MILLIS = 3000;
  private static final int KILL_MARGIN_MILLIS = 700;

  private static final int MAX_FURTHER_SIGNALS = 4;

  private final RouterPool routers;
  private final EmulatedFleet fleet;
  private final Supplier<String> eventStreamAddress;
  private final SoakRecords records;
  private final int timeoutMillis;

  RouterProcessFaults(
      RouterPool routers,
      EmulatedFleet fleet,
      Supplier<String> eventStreamAddress,
      SoakRecords records,
      int timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
    this.routers = routers;
    this.fleet = fleet;
    this.eventStreamAddress = eventStreamAddress;
    this.records = records;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    return Map.of(
        SoakFaultType.ROUTER_TERM,
        (fault, random) -> terminate(routers.draw(random)),
        SoakFaultType.ROUTER_TERM_UNDER_LOAD,
        (fault, random) -> terminateUnderLoad(routers.draw(random), random),
        SoakFaultType.ROUTER_KILL,
        (fault, random) -> killSome(random),
        SoakFaultType.ROUTER_PAUSE,
        (fault, random) -> pause(routers.draw(random), fault.durationMillis()));
  }

  private void terminate(ServeProcess router) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        return; // it is being restarted
      }
      router.signal(ProcessSignal.TERM);
      Thread.sleep(ROTATION_MILLIS);
      router.takeOutOfRotation();
      router.awaitStopped();
      restart(router);
    }
  }

  /**
   * SIGTERM, further signals, and SIGKILL as early as the platform may send it. Clients open no
   * connection after a while, and go on sending on open ones.
   */
  private void terminateUnderLoad(ServeProcess router, Random random)
      throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        return; // it is being restarted
      }
      long startNanos = System.nanoTime();
      router.signal(ProcessSignal.TERM);
      router.sendSeries(random.nextInt(MAX_FURTHER_SIGNALS + 1), random);
      Sleep.until(startNanos, NEW_CONNECTIONS_MILLIS);
      router.takeNoNewClients();
      int assumedMillis = Math.min(timeoutMillis, MAX_ASSUMED_TIMEOUT_MILLIS);
      Sleep.until(startNanos, assumedMillis + KILL_MARGIN_MILLIS);
      router.killIfAlive();
      router.takeOutOfRotation();
      restart(router);
    }
  }

  private void killSome(Random random) throws IOException, InterruptedException {
    for (int i = random.nextInt(MAX_ROUTERS_AT_ONCE); i >= 0; i--) {
      kill(routers.draw(random));
    }
  }

  private void kill(ServeProcess router) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        return; // it is being restarted
      }
      Outage outage =
          records.beginOutage(OutageCause.ROUTER_KILLED, router.index(), System.nanoTime());
      router.signal(ProcessSignal.KILL);
      router.takeOutOfRotation();
      router.awaitKilled();
      restart(router);
      outage.endedAt(System.nanoTime());
    }
  }

  private void restart(ServeProcess router) throws IOException, InterruptedException {
    router.systemCallFaults().clear();
    router.configure(eventStreamAddress.get(), fleet.events());
    router.start();
    router.awaitReady();
  }

  private void pause(ServeProcess router, int millis) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        return; // it is being restarted
      }
      Outage outage =
          records.beginOutage(OutageCause.ROUTER_PAUSED, router.index(), System.nanoTime());
      router.signal(ProcessSignal.STOP);
      Thread.sleep(millis);
      router.signal(ProcessSignal.CONT);
      outage.endedAt(System.nanoTime());
    }
  }
}
