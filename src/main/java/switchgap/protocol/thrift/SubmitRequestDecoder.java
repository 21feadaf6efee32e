package switchgap.protocol.thrift;

import java.time.Duration;
import java.util.Map;
import switchgap.policy.api.RouterSettings;
import switchgap.router.PendingRequest;
import switchgap.router.ResponseListener;

/** What a submitted request says, field by field, as a call; what can't be used is refused with its field's name. */
final class SubmitRequestDecoder {
    /** Names of workloads and customers as the operators state them. */
    record NameDirectory(RouterSettings terms, Map<String, Integer> workloads,
        Map<String, Integer> customers) {}

    static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidRequestException(String why) { super(why, null, false, false); }
    }

    static final int MOST_BODY = 16 << 10;
    private static final int MARK = 16;              // hex digits of an id and of a function
    private static final double MOST_MEMORY = 1 << 20; // MB
    private static final double MOST_LANES = 1024;
    private static final double HOUR = 3_600_000;    // ms
    private static final byte[] NOTHING = {};

    private SubmitRequestDecoder() {}

    static PendingRequest read(ThriftMessage m, NameDirectory book, Duration now, ResponseListener asker)
        throws InvalidRequestException {
        if (m.fields() == null) { throw new InvalidRequestException("no fields"); }
        byte[] body = m.body() == null ? NOTHING : m.body();
        if (body.length > MOST_BODY) { throw new InvalidRequestException("bytes"); }
        String id = mark(m, "ref");
        Integer workload = book.workloads.get(m.fields().getOrDefault("service", ""));
        if (workload == null) { throw new InvalidRequestException("service"); }
        Integer customer = book.customers.isEmpty() ? Integer.valueOf(-1)
            : book.customers.get(m.fields().getOrDefault("project", ""));
        if (customer == null) { throw new InvalidRequestException("project"); }
        String function = mark(m, "lookup");
        // Nobody may wait for longer than twice what the operators state: such a call would only be kept.
        double longest = 2e-6 * book.terms.requestTimeout(workload).toNanos();
        Duration limit = now.plus(span(number(m.fields().get("allow"), "allow", longest)));
        String effort = m.fields().get("effort");
        Duration hint = effort == null ? null : span(number(effort, "effort", HOUR));
        double memory = 0;
        int lanes = 1;
        Duration load = null;
        String extras = m.fields().getOrDefault("extras", "");
        for (int at = 0; at < extras.length();) {
            int end = extras.indexOf(';', at) < 0 ? extras.length() : extras.indexOf(';', at);
            int colon = extras.indexOf(':', at);
            if (colon < 0 || colon > end) { throw new InvalidRequestException("extras"); }
            String value = extras.substring(colon + 1, end);
            switch (extras.substring(at, colon)) {
                case "memory_mb" -> memory = number(value, "extras", MOST_MEMORY);
                case "lanes" -> lanes = (int) Math.max(1, Math.round(number(value, "extras", MOST_LANES)));
                case "load_ms" -> load = span(number(value, "extras", HOUR));
                default -> {} // a figure that this router has no use for
            }
            at = end + 1;
        }
        return PendingRequest.builder(id, function, limit, asker).requestClass(workload).tenant(
            customer).durationHint(hint).payload(null, body).replica(memory, lanes).build();
    }

    private static String mark(ThriftMessage m, String field) throws InvalidRequestException {
        String s = m.fields().get(field);
        if (s == null || s.length() != MARK) { throw new InvalidRequestException(field); }
        for (int i = 0; i < MARK; i++) {
            char c = s.charAt(i);
            if ((c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F')) {
                throw new InvalidRequestException(field);
            }
        }
        return s;
    }

    /** A plain decimal figure above 0. Java's own words for numbers (NaN, 1f, 0x1p3, blanks) are none. */
    private static double number(String s, String field, double most) throws InvalidRequestException {
        if (s == null || s.isEmpty() || s.length() > 24) { throw new InvalidRequestException(field); }
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if ((c < '0' || c > '9') && "+-.eE".indexOf(c) < 0) { throw new InvalidRequestException(field); }
        }
        try {
            double v = Double.parseDouble(s);
            if (v > 0 && v <= most) { return v; }
        } catch (NumberFormatException x) {
            // no figure: told below
        }
        throw new InvalidRequestException(field);
    }

    private static Duration span(double millis) { return Duration.ofNanos(Math.round(millis * 1e6)); }
}
