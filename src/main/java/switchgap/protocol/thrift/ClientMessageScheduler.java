package switchgap.protocol.thrift;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import switchgap.router.RouterCore;

/**
 * Passes the queued messages of all connections to the event loop in turns (round robin). At most
 * one event per connection is posted at a time, so that a client's message waits for at most one
 * turn of each other connection, however many messages these have queued.
 */
final class ClientMessageScheduler {
  /**
   * Number of messages that the turns of all waiting connections handle together; each handles at
   * least one.
   */
  private static final int MESSAGES_PER_ROUND = 512;

  private final RequestHandler requestHandler;
  private final Consumer<Consumer<RouterCore>> eventLoop;

  /** Number of connections for which a turn is scheduled. */
  private final AtomicInteger scheduledTurns = new AtomicInteger();

  /**
   * Creates a scheduler.
   *
   * @param requestHandler handles the messages
   * @param eventLoop posts an event to the router's event loop
   */
  ClientMessageScheduler(RequestHandler requestHandler, Consumer<Consumer<RouterCore>> eventLoop) {
    this.requestHandler = requestHandler;
    this.eventLoop = eventLoop;
  }

  /** Queues a message of the connection, for which the queue's space is reserved. Selector only. */
  void enqueue(ClientConnection connection, QueuedMessage message) {
    connection.messageQueue().add(message);
    scheduleTurn(connection);
  }

  private void scheduleTurn(ClientConnection connection) {
    if (connection.messageQueue().scheduleTurn()) {
      scheduledTurns.incrementAndGet();
      postTurn(connection);
    }
  }

  private void postTurn(ClientConnection connection) {
    eventLoop.accept(core -> runTurn(core, connection));
  }

  private void runTurn(RouterCore core, ClientConnection connection) {
    ClientMessageQueue queue = connection.messageQueue();
    int messagesPerTurn = Math.max(1, MESSAGES_PER_ROUND / scheduledTurns.get());
    for (int handled = 0; handled < messagesPerTurn && !queue.isEmpty(); handled++) {
      requestHandler.messageReceived(core, connection, queue.poll());
    }
    if (!queue.isEmpty()) {
      postTurn(connection);
      return;
    }
    scheduledTurns.decrementAndGet();
    queue.turnEnded();
    if (!queue.isEmpty()) { // a message was added before the turn was marked as ended
      scheduleTurn(connection);
    }
    connection.flowControl().resumeIfDrained();
  }
}
