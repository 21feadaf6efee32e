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
 * Streams the endpoint list to watching routers: the complete list first, then each change, delayed
 * by a lag. On the scheduler's thread.
 */
public final class EndpointListService implements HttpServer.RequestHandler {
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * One worker in the list.
   *
   * @param name name of the worker
   * @param port its port on the loopback address
   * @param state its state
   * @param zone its zone
   * @param cell its cell
   * @param kind its worker kind
   * @param size its compute capacity in cores of speed 1
   * @param startedAt when it started, milliseconds of wall time; 0 where long past
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
    /** The same entry with another state. */
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

  /** A router's open stream. */
  private static final class Watcher {
    final HttpExchange stream;
    final int router;
    final ArrayDeque<Entry> pendingChanges = new ArrayDeque<>();
    long version;
    long lastDeliveryAt;

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
  private long lag;
  private boolean unavailable;

  /**
   * Listens at a free port of the loopback address; changes reach each router after a lag in
   * microseconds.
   */
  public EndpointListService(
      Scheduler scheduler, NetworkTransport net, EventRecorder recorder, long lag)
      throws IOException {
    this.scheduler = scheduler;
    this.recorder = recorder;
    this.lag = lag;
    server = new HttpServer(net, HttpServerLimits.DEFAULT, this);
    port = server.listen("127.0.0.1", 0);
  }

  /** The port that it listens at. */
  public int port() {
    return port;
  }

  /** Sets the lag of later changes, microseconds. */
  public void setLag(long micros) {
    lag = micros;
  }

  /** The current entries. */
  public Collection<Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Makes the service unavailable: open streams end and new ones are cut; false ends it. */
  public void setUnavailable(boolean isUnavailable) {
    unavailable = isUnavailable;
    if (isUnavailable) {
      List.copyOf(watchers.keySet()).forEach(HttpExchange::drop);
      watchers.clear();
    }
  }

  /** Sets one entry; watching routers are notified after the lag, in order. */
  public void put(Entry entry) {
    entries.put(entry.name(), entry);
    recorder.record(
        LogEvent.of(scheduler.now(), "changed")
            .with("worker", entry.name())
            .with("state", entry.state().word()));
    long now = scheduler.now();
    for (Watcher watcher : watchers.values()) {
      watcher.pendingChanges.add(entry);
      watcher.lastDeliveryAt = Math.max(watcher.lastDeliveryAt, now + lag);
      scheduler.after(watcher.lastDeliveryAt - now, () -> deliverNext(watcher));
    }
  }

  private void deliverNext(Watcher watcher) {
    Entry entry = watcher.pendingChanges.poll();
    if (entry == null || unavailable || !watchers.containsKey(watcher.stream)) {
      return;
    }
    send(watcher, false, List.of(entry));
  }

  private void send(Watcher watcher, boolean complete, Collection<Entry> changes) {
    StringBuilder json =
        new StringBuilder("{\"whole\":")
            .append(complete)
            .append(",\"version\":")
            .append(watcher.version++)
            .append(",\"workers\":[");
    String separator = "";
    for (Entry entry : changes) {
      json.append(separator).append(entry.json());
      separator = ",";
    }
    watcher.stream.sendPart(json.append("]}\n").toString().getBytes(StandardCharsets.UTF_8));
    long now = scheduler.now();
    for (Entry entry :
        changes) { // a router learns what is sent now at this time, or a little later
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
    String router = exchange.queryParameter("router");
    if (unavailable || router == null || !exchange.path().equals("/v1/workers")) {
      exchange.drop();
      return;
    }
    Watcher watcher = new Watcher(exchange, Integer.parseInt(router));
    watchers.put(exchange, watcher);
    exchange.beginStreaming(200, Map.of("Content-Type", "application/x-ndjson"));
    recorder.record(LogEvent.of(scheduler.now(), "watch").with("router", watcher.router));
    send(watcher, true, entries.values());
    watchers.keySet().removeIf(stream -> !stream.isOpen());
  }

  /** Stops listening and ends all streams. */
  public void close() {
    server.close();
  }
}
