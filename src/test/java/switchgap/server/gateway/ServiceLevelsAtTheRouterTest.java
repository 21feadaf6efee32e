package switchgap.server.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static switchgap.server.gateway.GatewayFixture.end;
import static switchgap.server.gateway.GatewayFixture.until;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Levels as clients and operators meet them at the router. */
class ServiceLevelsAtTheRouterTest {
    private static HttpResponse<String> pin(GatewayFixture s, String rung, int seconds) throws Exception {
        return s.client.send(
            s.to("/v1/levels?pin=" + rung + "&seconds=" + seconds).POST(
                HttpRequest.BodyPublishers.noBody()).build(),
            HttpResponse.BodyHandlers.ofString());
    }

    @Test void aPinnedLevelPushesBackSaysSoAndExpires() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("", a)) {
            assertThat(s.get("/v1/levels").body()).contains("\"level\" : \"full\"");
            assertThat(pin(s, "least", 1).statusCode()).isEqualTo(200);
            HttpResponse<String> r = s.invoke("again-1", "1");
            assertThat(end(r)).isEqualTo("pushed-back");
            assertThat(r.headers().firstValue("Switchgap-Level")).hasValue("least");
            assertThat(r.headers().firstValue("Retry-After")).isPresent();
            assertThat(r.body()).contains("\"level\":\"least\"").contains("\"repeat_harmless\":true");
            assertThat(end(s.invoke("once-1", "1"))).isEqualTo("finished"); // of the most importance
            assertThat(a.asked.stream().anyMatch(q -> q.line().contains("again-1"))).isFalse();
            assertThat(s.get("/v1/levels").body()).contains("\"condition\" : \"pinned\"").contains(
                "\"again\" : 1");
            assertThat(s.get("/metrics").body()).contains("switchgap_level 2\n").contains(
                "level=\"least\",workload=\"again\"} 1");
            until(() -> {
                try {
                    return end(s.invoke("again-1", "2")).equals("finished");
                } catch (Exception e) {
                    return false;
                }
            });
            assertThat(s.get("/v1/levels").body()).contains("the pin has expired");
            assertThat(s.gateway.held()).isZero();
        }
    }

    /** Its answer was kept back until two start targets before the limit, to be offered again and again. */
    @Test void aDeferredCallThatALevelPushesBackIsAnsweredAtOnce() throws Exception {
        String slow = GatewayFixture.TERMS.replace("again: {start_target: 300ms, time_limit: 900ms",
            "again: {start_target: 300ms, time_limit: 6s");
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = GatewayFixture.with(slow, "", a)) {
            pin(s, "hold", 1);
            String at = s.invoke("again-1", "9", "Prefer", "respond-async").headers().firstValue(
                "Location").orElseThrow();
            HttpResponse<String> r = s.get(at);
            assertThat(end(r)).isEqualTo("pushed-back");
            assertThat(r.headers().firstValue("Switchgap-Level")).hasValue("least"); // the first rung that pushes it back
            assertThat(a.infers()).isZero();
            assertThat(s.gateway.held()).isZero();
        }
    }

    @Test void badPinsAreRefused() throws Exception {
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("levels: {pin: hold, pin_for: 300ms, spare: [known]}\n",
                a)) {
            assertThat(end(s.invoke("once-1", "1"))).isEqualTo("pushed-back"); // the page's pin
            assertThat(end(s.invoke("known-1", "1", "Idempotency-Key", "k"))).isEqualTo("finished"); // spared
            assertThat(pin(s, "share", 5).statusCode()).isEqualTo(400);
            assertThat(pin(s, "least", 0).statusCode()).isEqualTo(400);
            assertThat(pin(s, "least", 99999999).statusCode()).isEqualTo(400);
            Thread.sleep(500);
            assertThat(end(s.invoke("once-1", "1"))).isEqualTo("finished");
        }
        try (HttpTestServer a = new HttpTestServer(HttpTestServer::well);
            GatewayFixture s = new GatewayFixture("levels: {act: false}\n", a)) {
            assertThat(s.get("/v1/levels").statusCode()).isEqualTo(404);
        }
    }
}
