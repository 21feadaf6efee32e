package switchgap.protocol.thrift;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import switchgap.net.FrameDecoder;
import switchgap.net.NetworkTransport;
import switchgap.router.CoreLimits;
import switchgap.router.RouterCore;
import switchgap.server.platform.TestPlatformSettings;
import switchgap.server.platform.ThriftTestClient;
import switchgap.testing.IgnoredEvents;
import switchgap.testing.TestDiagnostics;

/**
 * Messages that arrive faster than the event loop handles them. Tests run the events of the loop by
 * themselves, or not at all.
 */
class ThriftServerFloodTest {
  private static final int QUEUE_BYTES = 1000;
  private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(10);
  private static final long SWEEP_MILLIS = 200;
  private static final int STRICT_CALL = 0x80010001;
  private static final int STRING_TYPE = 11;

  /** Bytes of the shortest submit that these tests send. */
  private static final int MIN_SUBMIT_BYTES = 30;

  /** Sends a submit with a body of the given size and without fields. */
  private static void submit(Socket socket, int sequenceId, int bodyBytes) throws IOException {
    byte[] method = "submit".getBytes(StandardCharsets.US_ASCII);
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(4 + 4 + method.length + 4 + 1 + 2 + 4 + bodyBytes + 1);
    out.writeInt(STRICT_CALL);
    out.writeInt(method.length);
    out.write(method);
    out.writeInt(sequenceId);
    out.writeByte(STRING_TYPE);
    out.writeShort(2);
    out.writeInt(bodyBytes);
    out.write(new byte[bodyBytes]);
    out.writeByte(0);
    out.flush();
  }

  /** Whether the server closes the connection within a second. */
  private static boolean isClosed(Socket socket) throws IOException {
    socket.setSoTimeout(1000);
    try {
      return new DataInputStream(socket.getInputStream()).read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    }
  }

  private final ConcurrentLinkedQueue<Consumer<RouterCore>> events = new ConcurrentLinkedQueue<>();

  /** Time since the server's start. */
  private final AtomicLong millis = new AtomicLong();

  private NetworkTransport network;
  private ThriftServer server;

  /** Starts the server; the event loop's events are collected in {@link #events}. */
  private void start(int queueBytes) throws Exception {
    ClientConnectionLimits limits =
        new ClientConnectionLimits(
            10, 10, 1 << 20, queueBytes, 10, RECEIVE_TIMEOUT, Duration.ofMillis(SWEEP_MILLIS));
    network = new NetworkTransport(1, "flood-test");
    server =
        new ThriftServer(
            TestPlatformSettings.routerSettings(),
            Map.of(),
            Map.of(),
            limits,
            () -> Duration.ofMillis(millis.get()),
            events::add,
            TestDiagnostics.create());
    server.listen(network, "127.0.0.1", 0);
  }

  @AfterEach
  void stop() {
    server.close();
    network.close();
  }

  /**
   * Guards against a queue that one client fills for all others. The flooding client's messages
   * exceed the capacity; the other client's submit is queued nevertheless, neither rejected nor
   * left in its socket.
   */
  @Test
  void queuesSubmitOfOtherClientWhenOneHasFilledTheQueue() throws Exception {
    start(QUEUE_BYTES);
    try (Socket floodingClient = new Socket("127.0.0.1", server.port());
        Socket otherClient = new Socket("127.0.0.1", server.port())) {
      submit(floodingClient, 1, 600);
      assertThat(isClosed(floodingClient)).isFalse(); // the submit has been read by now
      submit(floodingClient, 2, 600);
      long queuedBefore = server.queuedHeapBytes();
      int eventsBefore = events.size();
      submit(otherClient, 7, 600);
      assertThat(isClosed(otherClient)).isFalse();
      assertThat(otherClient.getInputStream().available()).as("bytes of replies").isZero();
      assertThat(events.size()).isEqualTo(eventsBefore + 1);
      assertThat(server.queuedHeapBytes()).isGreaterThan(queuedBefore + 600);
      assertThat(isClosed(floodingClient)).isFalse();
    }
  }

  /**
   * Guards against a capacity that is never free again. The queued messages of a connection that
   * ends no longer count; if they did, each such connection would lower the limit until a restart.
   */
  @Test
  void closedConnectionUsesNoCapacity() throws Exception {
    start(QUEUE_BYTES);
    try (Socket client = new Socket("127.0.0.1", server.port())) {
      submit(client, 1, 100);
      assertThat(isClosed(client)).isFalse(); // the submit has been read by now
      assertThat(server.queuedHeapBytes()).isGreaterThan(100);
    }
    for (int i = 0; i < 1000 && server.openConnections() > 0; i++) {
      Thread.sleep(1);
    }
    assertThat(server.queuedHeapBytes()).isZero();
  }

  /** The read that exceeds the share is the last one, however many messages follow. */
  @Test
  void queuedMessagesExceedTheCapacityByAtMostOneReadPerConnection() throws Exception {
    start(QUEUE_BYTES);
    try (Socket client = new Socket("127.0.0.1", server.port())) {
      for (int number = 1; number <= 2000; number++) {
        submit(client, number, 0);
      }
      assertThat(isClosed(client)).isFalse();
      long maxMessagesPerRead = ThriftServer.MAX_READ_BYTES / MIN_SUBMIT_BYTES + 1;
      long maxBytesPerRead =
          ThriftServer.MAX_READ_BYTES + maxMessagesPerRead * QueuedMessage.OVERHEAD_BYTES;
      assertThat(server.queuedHeapBytes()).isBetween(1L, QUEUE_BYTES + maxBytesPerRead);
    }
  }

  /** More than the kernel's buffers of both sockets hold, so that only a reader takes all. */
  private static final int FLOOD_BYTES = 64 << 20;

  /** Fits in one read. */
  private static final int HEARTBEATS = 100;

  private static final long STALLED_AFTER_NANOS = 500_000_000;

  private interface FrameSource {
    byte[] next(int sequenceId) throws Exception;
  }

  /** Writes frames until the socket takes none for some time; returns the number of whole ones. */
  private static int floodUntilStalled(SocketChannel channel, FrameSource frames) throws Exception {
    channel.configureBlocking(false);
    int count = 0;
    for (long written = 0; written < FLOOD_BYTES; count++) {
      ByteBuffer frame = ByteBuffer.wrap(frames.next(count + 1));
      written += frame.remaining();
      if (!writeUnlessStalled(channel, frame)) {
        return count;
      }
    }
    throw new AssertionError("the server has read " + FLOOD_BYTES + " bytes");
  }

  private static boolean writeUnlessStalled(SocketChannel channel, ByteBuffer frame)
      throws IOException {
    long progressNanos = System.nanoTime();
    while (frame.hasRemaining()) {
      if (channel.write(frame) > 0) {
        progressNanos = System.nanoTime();
      } else if (System.nanoTime() - progressNanos > STALLED_AFTER_NANOS) {
        return false;
      }
    }
    return true;
  }

  private static byte[] invalidSubmit(int sequenceId) throws Exception {
    return ThriftTestClient.withLengthPrefix(
        ThriftTestFrames.submitFrame(Map.of("service", "x"), new byte[0], sequenceId));
  }

  private static byte[] revoke(int sequenceId) throws Exception {
    return call("revoke", TMessageType.ONEWAY, sequenceId);
  }

  /** Encodes a message without arguments. */
  private static byte[] call(String method, byte type, int sequenceId) throws Exception {
    TMemoryBuffer buffer = new TMemoryBuffer(64);
    TBinaryProtocol protocol = new TBinaryProtocol(buffer);
    protocol.writeMessageBegin(new TMessage(method, type, sequenceId));
    protocol.writeFieldStop();
    byte[] frame = Arrays.copyOf(buffer.getArray(), buffer.length());
    return ThriftTestClient.withLengthPrefix(frame);
  }

  /** A core whose policy decides nothing. */
  private static RouterCore idleCore() throws IOException {
    return new RouterCore(
        TestPlatformSettings.routerSettings(),
        (now, events, actions) -> events.deliverTo(new IgnoredEvents()),
        null,
        new CoreLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 10));
  }

  /** Runs the events, as the event loop does, until the client has as many replies. */
  private void runUntilAnswered(SocketChannel channel, int replies) throws Exception {
    RouterCore core = idleCore();
    BitSet answered = new BitSet();
    ByteBuffer received = ByteBuffer.allocate(1 << 20);
    FrameDecoder decoder = new FrameDecoder(1 << 16);
    long endNanos = System.nanoTime() + 20_000_000_000L;
    while (answered.cardinality() < replies && System.nanoTime() < endNanos) {
      Consumer<RouterCore> event = events.poll();
      core.tick(Duration.ofSeconds(1), event == null ? List.of() : List.of(event));
      channel.read(received.clear());
      decoder.decode(received.flip(), frame -> recordAnswer(answered, frame));
    }
    assertThat(answered.cardinality()).as("replies of %d", replies).isEqualTo(replies);
  }

  private static void recordAnswer(BitSet answered, byte[] frame) {
    try {
      TMemoryBuffer buffer = new TMemoryBuffer(frame.length);
      buffer.write(frame);
      int sequenceId = new TBinaryProtocol(buffer, true, true).readMessageBegin().seqid;
      assertThat(answered.get(sequenceId)).as("second reply to %d", sequenceId).isFalse();
      answered.set(sequenceId);
    } catch (TException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Guards against submits that are read without bound while the event loop is busy (review case
   * 2). TCP holds them back, and all that were sent are answered once the loop runs.
   */
  @Test
  void stopsReadingSubmitsAndAnswersAllOnceTheLoopRuns() throws Exception {
    start(QUEUE_BYTES);
    try (SocketChannel client =
        SocketChannel.open(new InetSocketAddress("127.0.0.1", server.port()))) {
      int sent = floodUntilStalled(client, ThriftServerFloodTest::invalidSubmit);
      runUntilAnswered(client, sent);
      assertThat(server.queuedHeapBytes()).isLessThan(QUEUE_BYTES);
    }
  }

  /** Guards against revokes that end their connection once too many are queued. */
  @Test
  void stopsReadingRevokesAndKeepsTheConnection() throws Exception {
    start(QUEUE_BYTES);
    try (SocketChannel client =
        SocketChannel.open(new InetSocketAddress("127.0.0.1", server.port()))) {
      assertThat(floodUntilStalled(client, ThriftServerFloodTest::revoke)).isPositive();
      assertThat(server.openConnections()).isEqualTo(1);
    }
  }

  /**
   * The replies to the heartbeats of one read are sent together; none may be missing or doubled.
   */
  @Test
  void answersEachHeartbeatOfOneReadBeforeItClosesAfterUnreadableMessage() throws Exception {
    start(QUEUE_BYTES);
    try (Socket client = new Socket("127.0.0.1", server.port())) {
      ByteArrayOutputStream messages = new ByteArrayOutputStream();
      for (int sequenceId = 1; sequenceId <= HEARTBEATS; sequenceId++) {
        messages.writeBytes(call("heartbeat", TMessageType.CALL, sequenceId));
      }
      messages.writeBytes(ThriftTestClient.withLengthPrefix(new byte[] {1, 2, 3, 4, 5}));
      client.getOutputStream().write(messages.toByteArray());
      client.setSoTimeout(5000);
      byte[] replies = client.getInputStream().readAllBytes(); // until the server closes
      BitSet answered = new BitSet();
      new FrameDecoder(1 << 16)
          .decode(ByteBuffer.wrap(replies), frame -> recordAnswer(answered, frame));
      assertThat(answered.cardinality()).isEqualTo(HEARTBEATS);
    }
  }

  /**
   * Guards against a receive timeout that counts from the arrival of earlier messages: a read fills
   * the buffer, so the bytes of the next one may be as old, but its partial message is not.
   */
  @Test
  void countsReceiveTimeoutOfPartialMessageFromItsOwnRead() throws Exception {
    RouterCore core = idleCore();
    ByteArrayOutputStream messages = new ByteArrayOutputStream();
    while (messages.size() < 2 * ThriftServer.MAX_READ_BYTES) {
      messages.writeBytes(call("heartbeat", TMessageType.CALL, 1));
    }
    int messageBytes = call("heartbeat", TMessageType.CALL, 1).length;
    byte[] bytes = messages.toByteArray();
    start(1 << 20);
    try (Socket client = new Socket("127.0.0.1", server.port())) {
      client.setSoTimeout(5000);
      client.getOutputStream().write(bytes, 0, ThriftServer.MAX_READ_BYTES);
      readReplies(client, ThriftServer.MAX_READ_BYTES / messageBytes);
      core.tick(Duration.ZERO, List.copyOf(events));
      advance(RECEIVE_TIMEOUT.toMillis() * 6 / 10);
      client.getOutputStream().write(bytes, ThriftServer.MAX_READ_BYTES, messageBytes);
      readReplies(client, 1);
      advance(RECEIVE_TIMEOUT.toMillis() * 6 / 10);
      assertThat(server.openConnections()).isEqualTo(1);
      advance(RECEIVE_TIMEOUT.toMillis());
      assertThat(server.openConnections()).as("overdue by now").isZero();
    }
  }

  private static void readReplies(Socket client, int count) throws IOException {
    DataInputStream input = new DataInputStream(client.getInputStream());
    for (int i = 0; i < count; i++) {
      input.readNBytes(input.readInt());
    }
  }

  /** Lets the time pass in steps in which overdue connections are closed. */
  private void advance(long span) {
    for (long end = millis.get() + span; millis.get() < end; ) {
      millis.addAndGet(SWEEP_MILLIS);
      server.closeOverdueConnections(Duration.ofMillis(millis.get()));
    }
  }
}
