package switchgap.testbed.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import switchgap.net.HttpExchange;
import switchgap.net.HttpServer;
import switchgap.net.HttpServerLimits;
import switchgap.net.NetworkTransport;

/**
 * Streams the endpoint list to routers: first the complete list, then each change after a
 * configurable delay. Used only on the scheduler's thread.
 */
public final class EndpointListService implements HttpServer.RequestHandler {
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * The entry of one worker in the list.
   *
   * @param name name of the worker
   * @param port port of the worker on the loopback address
   * @param state state that routers are to see
   * @param zone zone of the worker
   * @param cell number of the cell that the worker belongs to
   * @param kind name of its worker kind
   * @param size compute capacity in cores of speed 1
   * @param startedAt start time in milliseconds of Unix time; 0 if the worker is already warm
   */
  public record Entry(
      String name,
      int port,
      EndpointState state,
      String zone,
      int cell,
      String kind,
      double size,
      long startedAt) {
    /** Returns a copy of this entry with another state. */
    public Entry withState(EndpointState newState) {
      return new Entry(name, port, newState, zone, cell, kind, size, startedAt);
    }

    String json() {
      return "{\"name\":\""
          + name
          + "\",\"host\":\"127.0.0.1\",\"port\":"
          + port
          + ",\"state\":\""
          + state.word()
          + "\",\"zone\":\""
          + zone
          + "\",\"cell\":"
          + cell
          + ",\"kind\":\""
          + kind
          + "\",\"size\":"
          + size
          + (startedAt == 0 ? "" : ",\"started\":" + startedAt)
          + "}";
    }
  }

  /** An open stream to a router, with the changes that are not yet sent on it. */
  private static final class Watcher {
    final HttpExchange stream;
    final int router;
    final ArrayDeque<Entry> pendingChanges = new ArrayDeque<>();
    long nextVersion;
    long lastScheduledDeliveryAt;

    Watcher(HttpExchange stream, int router) {
      this.stream = stream;
      this.router = router;
    }
  }

  private final Scheduler scheduler;
  private final EventRecorder recorder;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<HttpExchange, Watcher> watchers = new LinkedHashMap<>();
  private final HttpServer server;
  private final int port;
  private long lagMicros;
  private boolean unavailable;

  /**
   * Starts to listen on a free port of the loopback address. Changes are sent to the routers after
   * a delay of {@code lagMicros}.
   */
  public EndpointListService(
      Scheduler scheduler, NetworkTransport net, EventRecorder recorder, long lagMicros)
      throws IOException {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.lagMicros = lagMicros;
    server = new HttpServer(net, HttpServerLimits.DEFAULT, this);
    port = server.listen("127.0.0.1", 0);
  }

  /** The port that the service listens on. */
  public int port() {
    return port;
  }

  /** Sets the delay of later changes in microseconds. */
  public void setLag(long newLagMicros) {
    lagMicros = newLagMicros;
  }

  /** A copy of the current entries. */
  public Collection<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /**
   * Makes the service unavailable or available. While it is unavailable, all streams are closed and
   * the connections of new requests are dropped.
   */
  public void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
    if (isUnavailable) {
      List.copyOf(watchers.keySet()).forEach(HttpExchange::drop);
      watchers.clear();
    }
  }

  /** Adds or replaces an entry; routers receive the changes in order, each after the delay. */
  public void put(Entry entry) {
    entries.put(entry.name(), entry);
    recorder.record(
        LogEvent.of(scheduler.now(), "changed")
            .with("worker", entry.name())
            .with("state", entry.state().word()));
    long now = scheduler.now();
    for (Watcher watcher : watchers.values()) {
      watcher.pendingChanges.add(entry);
      watcher.lastScheduledDeliveryAt = Math.max(watcher.lastScheduledDeliveryAt, now + lagMicros);
      scheduler.after(watcher.lastScheduledDeliveryAt - now, () -> deliverNext(watcher));
    }
  }

  private void deliverNext(Watcher watcher) {
    Entry entry = watcher.pendingChanges.poll();
    if (entry == null || unavailable || !watchers.containsKey(watcher.stream)) {
      return;
    }
    send(watcher, false, List.of(entry));
  }

  private void send(Watcher watcher, boolean isCompleteList, Collection<Entry> sentEntries) {
    StringBuilder json =
        new StringBuilder("{\"whole\":")
            .append(isCompleteList)
            .append(",\"version\":")
            .append(watcher.nextVersion++)
            .append(",\"workers\":[");
    String separator = "";
    for (Entry entry : sentEntries) {
      json.append(separator).append(entry.json());
      separator = ",";
    }
    watcher.stream.sendPart(json.append("]}\n").toString().getBytes(StandardCharsets.UTF_8));
    long now = scheduler.now();
    // The recorded time is a lower bound: the router receives the entry at this time or slightly
    // later.
    for (Entry entry : sentEntries) {
      recorder.record(
          LogEvent.of(now, "told")
              .with("router", watcher.router)
              .with("worker", entry.name())
              .with("state", entry.state().word())
              .with("started", entry.startedAt() * MICROS_PER_MILLI));
    }
  }

  @Override
  public void handle(HttpExchange exchange) {
    scheduler.post(() -> watch(exchange));
  }

  private void watch(HttpExchange exchange) {
    String routerParameter = exchange.queryParameter("router");
    if (unavailable || routerParameter == null || !exchange.path().equals("/v1/workers")) {
      exchange.drop();
      return;
    }
    Watcher watcher = new Watcher(exchange, Integer.parseInt(routerParameter));
    watchers.put(exchange, watcher);
    exchange.beginStreaming(200, Map.of("Content-Type", "application/x-ndjson"));
    recorder.record(LogEvent.of(scheduler.now(), "watch").with("router", watcher.router));
    send(watcher, true, entries.values());
    watchers.keySet().removeIf(stream -> !stream.isOpen());
  }

  /** Stops listening and closes all streams. */
  public void close() {
    server.close();
  }
}
