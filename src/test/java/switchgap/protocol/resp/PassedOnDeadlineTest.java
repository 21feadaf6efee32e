package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import switchgap.net.NetworkTransport;
import switchgap.policy.api.WorkerState;
import switchgap.router.CoreLimits;
import switchgap.router.EndpointUpdate;
import switchgap.router.PendingRequest;
import switchgap.router.Response;
import switchgap.router.ResponseListener;
import switchgap.router.RouterCore;
import switchgap.server.platform.TestPlatformSettings;
import switchgap.testing.TestDiagnostics;

/**
 * The time that a worker is given is what the client has left when the command goes out, not when
 * it was decided.
 */
class PassedOnDeadlineTest implements ResponseListener {
  private static final Duration TIMEOUT = Duration.ofMillis(900);
  private static final Duration CONNECT = Duration.ofMillis(700);
  private static final Pattern MAX = Pattern.compile("max=(\\d+)");

  private final LinkedBlockingQueue<Consumer<RouterCore>> events = new LinkedBlockingQueue<>();
  private volatile Duration now = Duration.ZERO;

  private RouterCore core(NetworkTransport net) throws Exception {
    RespConnectionLimits limits =
        new RespConnectionLimits(4, 2, 10, 2, Duration.ofSeconds(5), Duration.ofSeconds(30));
    RespWorkerTransport transport =
        new RespWorkerTransport(
            net,
            limits,
            new RespProtocolSettings(List.of("again"), false),
            new CoreLimits(TIMEOUT, TIMEOUT, 10),
            () -> now,
            events::add,
            TestDiagnostics.create());
    int[] attempts = {0};
    return new RouterCore(
        TestPlatformSettings.routerSettings(),
        (at, batch, actions) -> {
          batch.deliverTo(new IgnoredEvents());
          if (attempts[0]++ == 0) {
            actions.startAttempt(0, 0, TIMEOUT);
          }
        },
        transport,
        new CoreLimits(TIMEOUT, TIMEOUT, 10));
  }

  @Test
  void aConnectionThatComesUpLateLeavesTheWorkerLessTime() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        NetworkTransport net = new NetworkTransport(1, "deadline-test")) {
      RouterCore core = core(net);
      EndpointUpdate worker =
          new EndpointUpdate(
              "w", "127.0.0.1", server.getLocalPort(), WorkerState.READY, 0, 0, 0, 1, null);
      PendingRequest request = PendingRequest.builder("1", "f", TIMEOUT, this).build();
      core.tick(
          now,
          List.of(
              each -> each.endpointListReceived(true, List.of(worker)),
              each -> each.accept(request)));
      try (Socket socket = server.accept()) {
        Consumer<RouterCore> opened = events.poll(5, TimeUnit.SECONDS);
        now = CONNECT;
        core.tick(now, List.of(opened));
        socket.setSoTimeout(5000);
        Matcher max =
            MAX.matcher(
                new String(socket.getInputStream().readNBytes(60), StandardCharsets.ISO_8859_1));
        assertThat(max.find()).isTrue();
        assertThat(Long.parseLong(max.group(1)))
            .isLessThanOrEqualTo(TIMEOUT.minus(CONNECT).toMillis());
      }
    }
  }

  @Override
  public void responded(PendingRequest request, Response response) {}

  @Override
  public void deadlineMissed(PendingRequest request, Response late) {}
}
