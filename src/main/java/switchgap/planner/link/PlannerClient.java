package switchgap.planner.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import switchgap.net.CloseCause;
import switchgap.net.FramedConnection;
import switchgap.net.FramedConnector;
import switchgap.net.NetworkTransport;
import switchgap.net.TimerThread;
import switchgap.planner.LoadBacklog;
import switchgap.planner.LoadPlan;
import switchgap.planner.LoadScheduler;
import switchgap.planner.PlannerMessage;

/**
 * The planner's side of the connection: connects to the router, reconnects with exponential
 * backoff, and responds to each backlog with a plan. Messages are handled on the connection's
 * selector thread, heartbeats and reconnects on the timer thread.
 */
public final class PlannerClient implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PlannerClient.class);

  /** Well below the time without a message after which the router closes the connection, 1 s. */
  private static final long HEARTBEAT_INTERVAL_MILLIS = 200;

  private static final long MIN_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 2000;
  private static final int BACKOFF_FACTOR = 2;

  private final FramedConnector connector;
  private final InetSocketAddress routerAddress;
  private final int routerIndex;
  private final LoadScheduler scheduler = new LoadScheduler();
  private final ScheduledFuture<?> heartbeat;
  private volatile FramedConnection connection;
  private volatile boolean handshakeDone;
  private volatile boolean closed;

  /** Guarded by this object's monitor. */
  private long backoffMillis = MIN_BACKOFF_MILLIS;

  /** Used only by the timer thread. */
  private long heartbeatsSent;

  /** Starts to connect to the router with this index and address. */
  public PlannerClient(NetworkTransport net, InetSocketAddress routerAddress, int routerIndex) {
    this.connector =
        new FramedConnector(net, PlannerMessageCodec.MAX_FRAME_BYTES, new MessageListener());
    this.routerAddress = routerAddress;
    this.routerIndex = routerIndex;
    this.heartbeat =
        TimerThread.EXECUTOR.scheduleAtFixedRate(
            this::sendHeartbeat,
            HEARTBEAT_INTERVAL_MILLIS,
            HEARTBEAT_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    connect();
  }

  /** Whether the connection to the router is open and its handshake is complete. */
  public boolean isConnected() {
    return handshakeDone;
  }

  private void sendHeartbeat() {
    FramedConnection current = connection;
    if (current != null && handshakeDone) {
      current.send(PlannerMessageCodec.encode(new PlannerMessage.Heartbeat(heartbeatsSent)));
      heartbeatsSent++;
    }
  }

  private void connect() {
    if (!closed) {
      connector.connect(routerAddress, this::reconnectLater);
    }
  }

  private synchronized void reconnectLater() {
    handshakeDone = false;
    connection = null;
    if (closed) {
      return;
    }
    TimerThread.EXECUTOR.schedule(this::connect, backoffMillis, TimeUnit.MILLISECONDS);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * BACKOFF_FACTOR);
  }

  private synchronized void setBackoff(long millis) {
    backoffMillis = millis;
  }

  private final class MessageListener implements FramedConnection.Listener {
    @Override
    public void opened(FramedConnection newConnection) {
      connection = newConnection;
      newConnection.send(
          PlannerMessageCodec.encode(
              new PlannerMessage.Hello(
                  PlannerMessageCodec.VERSION, PlannerMessageCodec.PLANNER_SIDE, routerIndex, 0)));
    }

    @Override
    public void frameReceived(FramedConnection from, byte[] bytes) {
      try {
        received(from, PlannerMessageCodec.decode(bytes));
      } catch (IOException e) {
        from.close(new CloseCause(PlannerCloseReason.UNREADABLE_MESSAGE, e.getMessage()));
      }
    }

    private void received(FramedConnection from, PlannerMessage message) {
      if (message instanceof PlannerMessage.Hello hello && isFromRouter(hello)) {
        handshakeDone = true;
        setBackoff(MIN_BACKOFF_MILLIS);
        LOG.info("planner of router {} connected, epoch {}", routerIndex, hello.epoch());
      } else if (message instanceof PlannerMessage.Rejected rejected) {
        LOG.error("the router rejected this planner: {}", rejected.why());
        setBackoff(MAX_BACKOFF_MILLIS);
      } else if (message instanceof LoadBacklog backlog && handshakeDone) {
        sendPlan(from, backlog);
      } else {
        from.close(PlannerCloseReason.UNEXPECTED_MESSAGE);
      }
    }

    private boolean isFromRouter(PlannerMessage.Hello hello) {
      return hello.version() == PlannerMessageCodec.VERSION
          && hello.side().equals(PlannerMessageCodec.ROUTER_SIDE);
    }

    private void sendPlan(FramedConnection routerConnection, LoadBacklog backlog) {
      LoadPlan plan = scheduler.plan(backlog);
      if (plan != null) {
        routerConnection.send(PlannerMessageCodec.encode(plan));
      }
    }

    @Override
    public void closed(FramedConnection from, CloseCause cause) {
      LOG.warn("planner of router {} disconnected: {}", routerIndex, cause);
      reconnectLater();
    }
  }

  /** Closes the connection without reconnecting. */
  @Override
  public void close() {
    closed = true;
    heartbeat.cancel(false);
    FramedConnection current = connection;
    if (current != null) {
      current.close(PlannerCloseReason.PLANNER_STOPPED);
    }
  }
}
