package switchgap.testbed.soak;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import switchgap.testbed.process.ProcessSignal;

/** Injects faults of router processes: restarts, kills and pauses. */
final class RouterProcessFaults {
  /** Time after SIGTERM until clients stop sending; the hosting platform allows them 0.6 s. */
  private static final int TAKE_OUT_OF_ROTATION_DELAY_MILLIS = 500;

  private static final int MAX_ROUTERS_KILLED_PER_FAULT = 4;

  /** On the hosting platform, clients open new connections for this long after SIGTERM. */
  private static final int NEW_CONNECTIONS_END_MILLIS = 400;

  /** The hosting platform assumes this timeout if the routers' settings allow a longer one. */
  private static final int MAX_ASSUMED_TIMEOUT_MILLIS = 3000;

  /** The hosting platform sends SIGKILL this long after the assumed timeout, at the earliest. */
  private static final int KILL_MARGIN_MILLIS = 700;

  private static final int MAX_FURTHER_SIGNALS = 4;

  private final RouterPool routers;
  private final EmulatedFleet fleet;
  private final Supplier<String> eventStreamAddress;
  private final SoakRecords records;
  private final int maxTimeoutMillis;

  RouterProcessFaults(
      RouterPool routers,
      EmulatedFleet fleet,
      Supplier<String> eventStreamAddress,
      SoakRecords records,
      int maxTimeoutMillis) {
    this.maxTimeoutMillis = maxTimeoutMillis;
    this.routers = routers;
    this.fleet = fleet;
    this.eventStreamAddress = eventStreamAddress;
    this.records = records;
  }

  Map<SoakFaultType, SoakFaultInjector> injectors() {
    return Map.of(
        SoakFaultType.ROUTER_TERM,
        (fault, random) -> terminate(routers.pick(random)),
        SoakFaultType.ROUTER_TERM_UNDER_LOAD,
        (fault, random) -> terminateUnderLoad(routers.pick(random), random),
        SoakFaultType.ROUTER_KILL,
        (fault, random) -> killRandomRouters(random),
        SoakFaultType.ROUTER_PAUSE,
        (fault, random) -> pause(routers.pick(random), fault.durationMillis()));
  }

  private void terminate(ServeProcess router) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        // The router is being restarted already.
        return;
      }
      router.signal(ProcessSignal.TERM);
      Thread.sleep(TAKE_OUT_OF_ROTATION_DELAY_MILLIS);
      router.takeOutOfRotation();
      router.awaitStopped();
      restart(router);
    }
  }

  /**
   * Sends SIGTERM, further signals, and SIGKILL as early as the hosting platform may send it. After
   * a while clients open no new connections, but continue to send on open ones.
   */
  private void terminateUnderLoad(ServeProcess router, Random random)
      throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        // The router is being restarted already.
        return;
      }
      long startNanos = System.nanoTime();
      router.signal(ProcessSignal.TERM);
      router.sendFurtherSignals(random.nextInt(MAX_FURTHER_SIGNALS + 1), random);
      Sleep.until(startNanos, NEW_CONNECTIONS_END_MILLIS);
      router.stopNewConnections();
      int assumedTimeoutMillis = Math.min(maxTimeoutMillis, MAX_ASSUMED_TIMEOUT_MILLIS);
      Sleep.until(startNanos, assumedTimeoutMillis + KILL_MARGIN_MILLIS);
      router.killIfAlive();
      router.takeOutOfRotation();
      restart(router);
    }
  }

  private void killRandomRouters(Random random) throws IOException, InterruptedException {
    for (int i = random.nextInt(MAX_ROUTERS_KILLED_PER_FAULT); i >= 0; i--) {
      kill(routers.pick(random));
    }
  }

  private void kill(ServeProcess router) throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        // The router is being restarted already.
        return;
      }
      Outage outage =
          records.beginOutage(OutageCause.ROUTER_KILLED, router.index(), System.nanoTime());
      router.signal(ProcessSignal.KILL);
      router.takeOutOfRotation();
      router.awaitKilled();
      restart(router);
      outage.end(System.nanoTime());
    }
  }

  private void restart(ServeProcess router) throws IOException, InterruptedException {
    router.systemCallFaults().clear();
    router.configure(eventStreamAddress.get(), fleet.events());
    router.start();
    router.awaitReady();
  }

  private void pause(ServeProcess router, int durationMillis)
      throws IOException, InterruptedException {
    synchronized (router) {
      if (!router.isInRotation()) {
        // The router is being restarted already.
        return;
      }
      Outage outage =
          records.beginOutage(OutageCause.ROUTER_PAUSED, router.index(), System.nanoTime());
      router.signal(ProcessSignal.STOP);
      Thread.sleep(durationMillis);
      router.signal(ProcessSignal.CONT);
      outage.end(System.nanoTime());
    }
  }
}
