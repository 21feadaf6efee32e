package switchgap.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.emulator.EmulatedClients;
import switchgap.emulator.EmulatedModelServer;
import switchgap.emulator.EmulatedStore;
import switchgap.emulator.EndpointListService;
import switchgap.emulator.EventRecorder;
import switchgap.emulator.FunctionCatalogue;
import switchgap.emulator.RealTimeScheduler;
import switchgap.emulator.SocketClientTransport;
import switchgap.emulator.StoreService;
import switchgap.net.NetworkTransport;

/** Everything a day needs on loopback ports: model servers, store, list service, routers, clients, and their logs. */
final class TestBed implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TestBed.class);
    final Scenario day;
    final RealTimeScheduler ticker = new RealTimeScheduler();
    final EventRecorder fleetLog, clientLog, listLog, scriptLog;
    final FunctionCatalogue catalogue;
    final EmulatedStore store;
    final EndpointListService list;
    private final StoreService storeService;
    private final StoreService.Client toStore;
    final EmulatedClients clients;
    private final SocketClientTransport way;
    final Map<String, EmulatedModelServer> servers = new LinkedHashMap<>();
    final List<RouterHost> routers = new ArrayList<>();
    final SplittableRandom chance;
    private final NetworkTransport net;
    private final List<Map<String, Long>> fingerprints = new ArrayList<>();
    private final Path dir;
    private final int[] ports;
    private int next;

    TestBed(Scenario day, Path dir, String baseline) throws IOException {
        this(day, dir, baseline, true);
    }

    /** Without routers it is the stand-ins alone: pages for routers are written, and none is started. */
    TestBed(Scenario day, Path dir, String baseline, boolean withRouters) throws IOException {
        this.day = day;
        this.dir = Files.createDirectories(dir);
        chance = new SplittableRandom(day.seed);
        net = new NetworkTransport(3, "rig");
        fleetLog = new EventRecorder(dir.resolve("fleet.jsonl"));
        clientLog = new EventRecorder(dir.resolve("clients.jsonl"));
        listLog = new EventRecorder(dir.resolve("list.jsonl"));
        scriptLog = new EventRecorder(dir.resolve("script.jsonl"));
        catalogue = day.catalogue(day.seed);
        store = new EmulatedStore(ticker, fleetLog, day.storeTakes, day.storeDown);
        storeService = new StoreService(ticker, net, store);
        toStore = new StoreService.Client(ticker, net, storeService.port());
        list = new EndpointListService(ticker, net, listLog, day.listLag);
        fingerprints.add(new HashMap<>());
        way = new SocketClientTransport(ticker, net, clientLog, day.routers);
        clients = day.clients(ticker, way, catalogue, day.seed + 1);
        // Asked for in one: two askings in turn have handed out the same port, and a router ended at its start.
        int[] free = LoopbackPorts.free(day.split ? 2 * day.routers : day.routers);
        ports = java.util.Arrays.copyOf(free, day.routers);
        int[] links = java.util.Arrays.copyOfRange(free, day.routers, free.length);
        for (int i = 0; i < day.workers; i++) { startWorker(false); }
        catalogue.seed(servers.values().stream().map(EmulatedModelServer::machine).toList());
        for (int i = 0; i < day.routers; i++) {
            Path page = dir.resolve("router-" + i + ".yaml");
            Files.deleteIfExists(dir.resolve("router-" + i + ".log"));
            Files.writeString(page, day.routerPage(i, ports[i], list.port(), catalogue,
                day.split ? Map.of("planner.port", String.valueOf(links[i])) : Map.of()));
            routers.add(day.ownProcesses
                ? new RouterProcess(page, dir.resolve("router-" + i + ".log"), baseline, day.split)
                : new InProcessRouter(page));
            if (withRouters) { routers.get(i).start(); }
            way.router(i, ports[i]);
            clients.zone(i, day.zones.get(day.zoneOf(i)));
        }
        for (int i = 0; withRouters && i < ports.length; i++) {
            LoopbackPorts.await(ports[i]);
            if (!routers.get(i).runs()) {
                throw new IOException("router " + i + " has ended, see its log in " + dir);
            }
        }
    }

    /** A worker of a new name, with its process; cold ones say when they started. */
    void startWorker(boolean cold) throws IOException {
        int n = next++;
        String name = "w" + n;
        Scenario.WorkerKind k = day.kindOf(n);
        EmulatedModelServer s = new EmulatedModelServer(name, ticker, net, fleetLog, catalogue::find,
            Scenario::router, fingerprints.get(0),
            day.tellsLoad, day.seed + 100 + n);
        int port = s.start(day.make(k), toStore, day.seed + 1000 + n, cold);
        servers.put(name, s);
        list.put(line(name, port, "ready", n, k, cold));
    }

    private EndpointListService.Entry line(String name, int port, String state, int n, Scenario.WorkerKind k,
        boolean cold) {
        return new EndpointListService.Entry(name, port, state, day.zones.get(day.zoneOf(n)),
            n / day.cellSize, k.name(),
            k.cores() * k.speed(), cold ? ticker.now() / 1000 : 0);
    }

    /** Tells the list a new state of a worker. */
    void state(String name, String state) {
        for (EndpointListService.Entry l : list.lines()) {
            if (l.name().equals(name)) {
                list.put(new EndpointListService.Entry(name, l.port(), state, l.zone(), l.cell(), l.kind(),
                    l.size(), l.started()));
            }
        }
    }

    /** Drains a worker, ends its process after the span, and tells the list that it is gone. */
    void drain(String name, long micros) {
        state(name, "draining");
        ticker.after(micros, () -> {
            servers.get(name).kill();
            state(name, "gone");
        });
    }

    /** The process dies and comes back after the span with nothing, under its old name. */
    void restart(String name, long micros) {
        servers.get(name).kill();
        int n = Integer.parseInt(name.substring(1));
        ticker.after(micros, () -> {
            try {
                int port = servers.get(name).start(day.make(day.kindOf(n)), toStore, day.seed + ticker.now(),
                    true);
                list.put(line(name, port, "ready", n, day.kindOf(n), true));
            } catch (IOException e) {
                LOG.error("worker {} can't be started again", name, e);
            }
        });
    }

    /** Running workers that are listed as ready, a share of them by chance, one at the least. */
    List<EmulatedModelServer> some(double part) {
        List<EmulatedModelServer> ready = new ArrayList<>();
        for (EndpointListService.Entry l : list.lines()) {
            if (l.state().equals("ready") && servers.get(l.name()).runs()) {
                ready.add(servers.get(l.name()));
            }
        }
        return LoadFaults.some(ready, part, chance);
    }

    void killRouter(int i) {
        scriptLog.line(ticker.now(), "router-killed", "router", i);
        routers.get(i).kill();
    }

    void startRouter(int i) {
        try {
            routers.get(i).start();
            scriptLog.line(ticker.now(), "router-started", "router", i);
        } catch (IOException e) {
            LOG.error("router {} can't be started again", i, e);
        }
    }

    void startPlanners() {
        for (RouterHost r : routers) {
            try {
                r.startPlanner();
            } catch (IOException e) {
                LOG.error("a planner can't be started again", e);
            }
        }
    }

    /** Ends everything in good order: routers first, so that what they hold is answered; then the logs are whole. */
    void finish() throws IOException {
        Thread[] all = new Thread[routers.size()];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Thread(routers.get(i)::stop);
            all[i].start();
        }
        for (Thread t : all) {
            try {
                t.join(9000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        long now = ticker.now();
        fleetLog.end(now);
        clientLog.end(now);
        listLog.end(now);
        scriptLog.end(now);
    }

    @Override public void close() {
        routers.forEach(r -> {
            r.kill();
            r.killPlanner();
        });
        servers.values().forEach(EmulatedModelServer::kill);
        list.close();
        storeService.close();
        ticker.close();
        net.close();
    }

    int port(int router) { return ports[router]; }
}
