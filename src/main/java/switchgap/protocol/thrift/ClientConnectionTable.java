package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import switchgap.net.PauseHistory;

/**
 * The clients' connections as the event loop knows them, bounded: past the bound an idle connection is
 * evicted for a new one. Event loop only.
 */
final class ClientConnectionTable {
    /** A client that has sent nothing for this part of the receive timeout is evicted before all others. */
    private static final int SILENT_TIMEOUT_DIVISOR = 4;

    /**
     * One on which something was going on less than this ago is in use: a reply may be on its way to the
     * client, or a message from it. The platform takes so long for a close and a request to cross.
     */
    private static final Duration QUIET_FOR = Duration.ofMillis(50);

    private final Set<ClientConnection> connections = new HashSet<>();
    private final int maxConnections;
    private final Duration receiveTimeout;
    private final Duration silentTimeout;
    private final PauseHistory pauses = new PauseHistory();

    ClientConnectionTable(int maxConnections, Duration receiveTimeout) {
        this.maxConnections = maxConnections;
        this.receiveTimeout = receiveTimeout;
        silentTimeout = receiveTimeout.dividedBy(SILENT_TIMEOUT_DIVISOR);
    }

    /** Takes in a new connection. */
    void add(ClientConnection connection) {
        if (connection.isOpen()) { // or it was closed before the event loop heard of it
            connections.add(connection);
        }
    }

    /**
     * Evicts connections of no use while there are too many.
     *
     * @return false where there are still too many, as all others are in use
     */
    boolean evictExcess(Duration now) {
        for (int excess = connections.size() - maxConnections; excess > 0; excess--) {
            ClientConnection evicted = evictionCandidate(now);
            if (evicted == null) {
                return false;
            }
            evicted.close(ClientCloseReason.EVICTED);
            connections.remove(evicted);
        }
        return true;
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    /** Connections on which anything is under way. */
    int busy() {
        int busy = 0;
        for (ClientConnection connection : connections) {
            if (connection.isBusy()) {
                busy++;
            }
        }
        return busy;
    }

    /** The connections of this moment, which may be closed while they are walked through. */
    List<ClientConnection> snapshot() {
        return new ArrayList<>(connections);
    }

    /** The process was held up for so long, until now: no client is to blame for it. */
    void pauseEnded(Duration now, Duration length) {
        pauses.add(now, length);
    }

    /** Closes connections that take too long for a message. */
    void closeOverdue(Duration now) {
        for (ClientConnection connection : snapshot()) {
            if (connection.isReceiveOverdue(now, receiveTimeout, pauses)) {
                connection.close(ClientCloseReason.RECEIVE_TIMEOUT);
            }
        }
    }

    /**
     * The connection that is silent, or else has been of no use for longest; null where all are in use.
     */
    private ClientConnection evictionCandidate(Duration now) {
        ClientConnection candidate = null;
        for (ClientConnection connection : connections) {
            if (isEvictable(connection, now)
                && (candidate == null || goesBefore(connection, candidate, now))) {
                candidate = connection;
            }
        }
        return candidate;
    }

    private boolean isEvictable(ClientConnection connection, Duration now) {
        Duration quiet = connection.hasUnsentReplies() ? receiveTimeout : QUIET_FOR;
        return connection.isOpen() && connection.isIdle() && connection.isQuiet(now, quiet);
    }

    private boolean goesBefore(ClientConnection first, ClientConnection second, Duration now) {
        boolean isFirstSilent = first.isSilent(now, silentTimeout);
        if (isFirstSilent != second.isSilent(now, silentTimeout)) {
            return isFirstSilent;
        }
        return first.lastActiveAt().compareTo(second.lastActiveAt()) < 0;
    }
}
