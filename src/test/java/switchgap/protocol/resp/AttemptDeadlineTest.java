package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
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
import switchgap.testing.IgnoredEvents;
import switchgap.testing.TestDiagnostics;

/**
 * The deadline that a worker receives must be the client's remaining time when the command is sent.
 * It would be too long if it was computed when the attempt was started, since opening a connection
 * may take a long time.
 */
class AttemptDeadlineTest implements ResponseListener {
  private static final Duration TIMEOUT = Duration.ofMillis(900);
  private static final Duration CONNECT_DURATION = Duration.ofMillis(700);
  private static final CoreLimits CORE_LIMITS = new CoreLimits(TIMEOUT, TIMEOUT, 10);
  private static final int EVENT_TIMEOUT_SECONDS = 5;
  private static final int READ_TIMEOUT_MILLIS = 5000;
  private static final int COMMAND_PREFIX_BYTES = 60;
  private static final Pattern MAX_MILLIS_FIELD = Pattern.compile("max=(\\d+)");

  private final LinkedBlockingQueue<Consumer<RouterCore>> events = new LinkedBlockingQueue<>();
  private volatile Duration now = Duration.ZERO;

  /**
   * Creates a core whose policy starts a single attempt at the only worker on the first batch of
   * events.
   */
  private RouterCore core(NetworkTransport net) throws Exception {
    RespProtocolSettings protocol = new RespProtocolSettings(List.of("again"), false);
    RespWorkerTransport transport =
        new RespWorkerTransport(
            net,
            RespTestLimits.SMALL,
            protocol,
            CORE_LIMITS,
            () -> now,
            events::add,
            TestDiagnostics.create());
    int[] attempts = {0};
    return new RouterCore(
        TestPlatformSettings.routerSettings(),
        (time, batch, actions) -> {
          batch.deliverTo(new IgnoredEvents());
          if (attempts[0]++ == 0) {
            actions.startAttempt(0, 0, TIMEOUT);
          }
        },
        transport,
        CORE_LIMITS);
  }

  private static long readMaxMillis(Socket socket) throws Exception {
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    byte[] prefix = socket.getInputStream().readNBytes(COMMAND_PREFIX_BYTES);
    Matcher maxMillis = MAX_MILLIS_FIELD.matcher(RespTestStrings.text(prefix));
    assertThat(maxMillis.find()).isTrue();
    return Long.parseLong(maxMillis.group(1));
  }

  @Test
  void sendsShorterDeadlineWhenConnectionOpensLate() throws Exception {
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
              routerCore -> routerCore.endpointListReceived(true, List.of(worker)),
              routerCore -> routerCore.accept(request)));
      try (Socket socket = server.accept()) {
        Consumer<RouterCore> opened = events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        now = CONNECT_DURATION;
        core.tick(now, List.of(opened));
        assertThat(readMaxMillis(socket))
            .isLessThanOrEqualTo(TIMEOUT.minus(CONNECT_DURATION).toMillis());
      }
    }
  }

  @Override
  public void responded(PendingRequest request, Response response) {}

  @Override
  public void deadlineMissed(PendingRequest request, Response lateResponse) {}
}
