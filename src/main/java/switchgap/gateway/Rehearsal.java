package switchgap.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.WorkerState;
import switchgap.router.Answer;
import switchgap.router.Asker;
import switchgap.router.Call;
import switchgap.router.Core;
import switchgap.router.Listed;
import switchgap.router.Loads;
import switchgap.router.Order;
import switchgap.router.Outside;
import switchgap.router.Run;
import switchgap.router.Seen;
import switchgap.terms.PageTerms;
import switchgap.wire.Bounds;
import switchgap.wire.HttpDoor;
import switchgap.wire.HttpLink;
import switchgap.wire.Net;

/**
 * Runs made-up calls through a core of its own and over a door of its own before the router serves. Guards against
 * answers that come late in the first second, while the JVM still interprets the code that must meet time limits.
 */
final class Rehearsal {
    private static final int CALLS = 3000;
    private static final int ASKS = 600;
    private static final Duration MOST = Duration.ofSeconds(2);

    private Rehearsal() { }

    static void run(PageTerms terms, Net net) throws IOException {
        decisions(terms);
        sockets(net);
    }

    private static void decisions(PageTerms terms) {
        List<Consumer<Core>> next = new ArrayList<>();
        Outside outside = new Outside() {
            @Override public void send(Run run, Duration allow) {
                next.add(c -> c.executionEnded(run, AttemptOutcome.FINISHED, new Loads(0.2, 1, 0, 0),
                    Answer.finished(200, Map.of(), new byte[0])));
            }

            @Override public AttemptOutcome abandon(Run run) { return AttemptOutcome.TIMED_OUT; }

            @Override public void hold(Seen worker, String function, int copies, Order order) {
                next.add(c -> c.orderEnded(order, AttemptOutcome.FINISHED, copies));
            }

            @Override public void drop(Seen worker, String function, Order order) { }

            @Override public void probe(Seen worker, Order order) {
                next.add(c -> c.probed(order, AttemptOutcome.FINISHED, Loads.UNTOLD));
            }

            @Override public void abandon(Order order) { }

            @Override public void list() { }
        };
        Core core = new Core(terms, 1, outside, Duration.ofSeconds(1), Duration.ofSeconds(1), 100);
        List<Listed> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(new Listed("rehearsal-" + i, "127.0.0.1", 1, WorkerState.READY, 0, 0, 0, 1, null));
        }
        next.add(c -> c.list(true, list));
        Asker nobody = new Asker() {
            @Override public void answered(Call c, Answer a) { }

            @Override public void overdue(Call c, Answer late) { }
        };
        long began = System.nanoTime();
        for (int i = 0; i < CALLS && System.nanoTime() - began < MOST.toNanos(); i++) {
            Duration at = Duration.ofMillis(2L * i);
            Call call = new Call("rehearsal", "rehearsal-" + i % 20, i % terms.workloads(), -1,
                at.plus(terms.timeLimit(i % terms.workloads())), null, null, null, new byte[0], 1, 2, null, false, nobody);
            next.add(c -> c.callCame(call));
            List<Consumer<Core>> now = List.copyOf(next);
            next.clear();
            core.round(at, now);
        }
    }

    private static void sockets(Net net) throws IOException {
        try (HttpDoor door = new HttpDoor(net, Bounds.USUAL, r -> r.answer(200, Map.of("Content-Type", "text/plain"),
            r.body))) {
            int port = door.listen("127.0.0.1", 0);
            CountDownLatch done = new CountDownLatch(1);
            new HttpLink.Opener(net, null, 1 << 16).open(new InetSocketAddress("127.0.0.1", port), MOST,
                new HttpLink.Opening() {
                    @Override public void open(HttpLink link) { ask(link, ASKS, done); }

                    @Override public void failed(String why) { done.countDown(); }
                });
            done.await(MOST.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void ask(HttpLink link, int left, CountDownLatch done) {
        boolean took = left > 0 && link.ask("POST", "/rehearsal", Map.of("Content-Type", "text/plain"), new byte[64],
            new HttpLink.Exchange() {
                @Override public void answered(int s, Map<String, String> h, byte[] b, boolean reusable) {
                    if (reusable) { ask(link, left - 1, done); } else { done.countDown(); }
                }

                @Override public void broken(String why) { done.countDown(); }
            });
        if (!took) {
            link.close();
            done.countDown();
        }
    }
}
