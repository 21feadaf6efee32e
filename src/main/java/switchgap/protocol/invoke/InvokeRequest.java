package switchgap.protocol.invoke;

import java.time.Duration;
import switchgap.config.YamlRouterSettings;
import switchgap.net.HttpExchange;
import switchgap.policy.api.Idempotency;

/**
 * What an invoke request asks for, checked against the terms. Headers: {@code Switchgap-Workload},
 * {@code Switchgap-Customer}, {@code Switchgap-Time-Limit} and {@code Switchgap-Cost-Hint} in milliseconds,
 * {@code Switchgap-Deadline} in milliseconds of wall time, {@code Switchgap-Call}, {@code Switchgap-Repeat}, {@code Idempotency-Key}, {@code Prefer: respond-async}.
 */
record InvokeRequest(String function, YamlRouterSettings.FunctionSettings entry, int workload, int customer,
    Duration limit, Duration hint,
    String fingerprint, String call, boolean repeat, boolean deferred) {
    /** Not a request that can be taken; the problem says why. */
    static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1;
        final transient ProblemDetails problem;

        InvalidRequestException(ProblemDetails problem) {
            super(problem.detail(), null, false, false);
            this.problem = problem;
        }
    }

    private static final int MOST_KEY = 256;

    static InvokeRequest read(String function, HttpExchange r, YamlRouterSettings terms)
        throws InvalidRequestException {
        YamlRouterSettings.FunctionSettings entry = function.length() > MOST_KEY ? null
            : terms.function(function);
        if (entry == null) { throw no(404, "unknown-function", "no function is called " + brief(function)); }
        String asked = r.header("Switchgap-Workload");
        int workload = asked == null ? entry.requestClass() : terms.requestClassIndex(asked);
        if (workload < 0) { throw no(400, "unknown-workload", "no workload is called " + brief(asked)); }
        String named = r.header("Switchgap-Customer");
        int customer = named == null ? entry.tenant() : terms.tenantIndex(named);
        if (named != null && customer < 0) {
            throw no(400, "unknown-customer", "no customer is called " + brief(named));
        }
        YamlRouterSettings.RequestClassSettings kind = terms.requestClass(workload);
        Duration limit = millis(r, "Switchgap-Time-Limit", kind.timeout());
        if (limit.isZero()) { throw no(400, "limit-past", "the time limit has passed already"); }
        if (limit.compareTo(kind.timeout()) > 0) { limit = kind.timeout(); }
        limit = least(limit, r);
        Duration hint = millis(r, "Switchgap-Cost-Hint", null);
        String key = brief(r, "Idempotency-Key");
        if (kind.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && key == null) {
            throw no(400, "fingerprint-missing", "workload " + kind.name() + " needs an Idempotency-Key");
        }
        String prefer = r.header("Prefer");
        return new InvokeRequest(function, entry, workload, customer, limit, hint, key,
            brief(r, "Switchgap-Call"),
            "true".equals(r.header("Switchgap-Repeat")), prefer != null && prefer.contains("respond-async"));
    }

    /**
     * Guards against a request that lay in the socket while the router was paused: a span alone would begin anew
     * when it is read. The wall clock may only shorten the limit.
     */
    private static Duration least(Duration limit, HttpExchange r) throws InvalidRequestException {
        String v = r.header("Switchgap-Deadline");
        if (v == null) { return limit; }
        try {
            Duration left = Duration.ofMillis(Long.parseLong(v) - System.currentTimeMillis());
            if (left.isNegative() || left.isZero()) {
                throw no(400, "limit-past", "the deadline has passed already");
            }
            return left.compareTo(limit) < 0 ? left : limit;
        } catch (NumberFormatException e) {
            throw no(400, "malformed-header", "Switchgap-Deadline is no time in milliseconds: " + brief(v));
        }
    }

    private static String brief(HttpExchange r, String header) throws InvalidRequestException {
        String v = r.header(header);
        if (v != null && v.length() > MOST_KEY) {
            throw no(400, "malformed-header", header + " is longer than " + MOST_KEY + " characters");
        }
        return v;
    }

    private static Duration millis(HttpExchange r, String header, Duration otherwise)
        throws InvalidRequestException {
        String v = r.header(header);
        if (v == null) { return otherwise; }
        try {
            double ms = Double.parseDouble(v);
            if (ms <= 0) { return Duration.ZERO; }
            if (ms <= 1e10) { return Duration.ofNanos((long) (ms * 1e6)); }
        } catch (NumberFormatException e) {
            throw no(400, "malformed-header", header + " is no number of milliseconds: " + brief(v));
        }
        throw no(400, "malformed-header", header + " is out of range: " + brief(v));
    }

    /** Bad input is told back in short, without what could break a line. */
    static String brief(String v) {
        String s = v.length() > 60 ? v.substring(0, 60) + "..." : v;
        return "'" + s.replaceAll("\\p{Cntrl}", "?") + "'";
    }

    static InvalidRequestException no(int status, String kind, String detail) {
        return new InvalidRequestException(new ProblemDetails(status, kind, detail));
    }
}
