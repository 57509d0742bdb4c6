package org.chervillift.daemon.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.chervillift.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the daemon over loopback with an upstream that sends malformed or late responses. */
class RequestPathTest {

    private static final String ID = "Idempotency-Key";
    private static final String DEADLINE = "Chervillift-Deadline-Ms";
    private static final String AUTH = "Authorization";
    private static final int IDLE_CONNECTIONS = 2_000;

    private final LoopbackFleet fleet = new LoopbackFleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void repeatedRequestThroughAnotherEntryVmGetsTheFirstResponse() throws Exception {
        HttpResponse<String> first = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        HttpResponse<String> second = callUntilVerdict("completed", 1, "/open/a", "x", ID, "i1");

        assertThat(verdict(first)).isEqualTo("completed");
        assertThat(second.body()).isEqualTo(first.body()).isEqualTo("POST /a x");
        assertThat(second.headers().firstValue("X-Of-Upstream")).hasValue("yes");
        assertThat(fleet.upstream.executedRequests()).hasSize(1);
    }

    @Test
    void reusedIdentifierWithDifferentContentIsRefused() throws Exception {
        fleet.call(0, "POST", "/open/a", "x", ID, "i1");

        HttpResponse<String> other = fleet.call(1, "POST", "/open/a", "y", ID, "i1");

        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(verdict(other)).isEqualTo("not-run");
        assertThat(other.body()).contains("\"code\":1009").doesNotContain("POST");
        assertThat(fleet.upstream.executedRequests()).hasSize(1);
    }

    @Test
    void sameIdentifierOfAnotherTeamIsADifferentRequest() throws Exception {
        String alpha = "Bearer " + LoopbackFleet.KEY_ALPHA.key();
        String beta = "Bearer " + LoopbackFleet.KEY_BETA.key();

        HttpResponse<String> own = fleet.call(0, "POST", "/closed/a", "x", ID, "i1", AUTH, alpha);
        HttpResponse<String> other = fleet.call(1, "POST", "/closed/a", "y", ID, "i1", AUTH, beta);

        assertThat(own.body()).isEqualTo("POST /a x");
        assertThat(other.body()).isEqualTo("POST /a y");
        assertThat(fleet.upstream.executedRequests()).hasSize(2);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/cut", "/cut-chunks", "/no-length"})
    void truncatedResponseIsNeverReportedAsCompleted(String path) throws Exception {
        HttpResponse<String> post = fleet.call(0, "POST", "/open" + path, "x");
        int runsOfPost = fleet.upstream.executedRequests().size();
        HttpResponse<String> get = fleet.call(0, "GET", "/open" + path, "", DEADLINE, "3000");

        assertThat(verdict(post)).isEqualTo("may-have-run");
        assertThat(post.body()).contains("\"code\":1008");
        assertThat(runsOfPost).isEqualTo(1);
        assertThat(verdict(get)).isEqualTo("may-have-run");
        assertThat(fleet.upstream.executedRequests().size()).isGreaterThan(2);
    }

    @Test
    void connectionWithoutAResponseIsClosedAtTheDeadline() throws Exception {
        HttpResponse<String> response = fleet.call(0, "POST", "/open/silent", "x", DEADLINE, "200");

        assertThat(verdict(response)).isEqualTo("may-have-run");
        assertThat(fleet.upstream.closedByDaemon.await(5, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void lateResponseIsDropped() throws Exception {
        HttpResponse<String> late = fleet.call(0, "POST", "/open/late", "x", DEADLINE, "200");
        fleet.upstream.responsePermits.release();
        HttpResponse<String> next = fleet.call(0, "POST", "/open/next", "y");

        assertThat(late.statusCode()).isEqualTo(504);
        assertThat(verdict(late)).isEqualTo("may-have-run");
        assertThat(next.body()).isEqualTo("POST /next y");
    }

    @Test
    void requestOnARefusedConnectionIsReportedAsNotRun() throws Exception {
        HttpResponse<String> response = fleet.call(0, "POST", "/gone/a", "x");

        assertThat(verdict(response)).isEqualTo("not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void leavingUpstreamReceivesNoFurtherRequests() throws Exception {
        HttpResponse<String> rejected = fleet.call(0, "POST", "/open/leaving", "x");
        HttpResponse<String> next = fleet.call(0, "POST", "/open/a", "x");

        assertThat(verdict(rejected)).isEqualTo("not-run");
        assertThat(verdict(next)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void withoutTheStoreOnlyRequestsWithoutIdentifierRun() throws Exception {
        fleet.setPlatformFaults(new PlatformFaults(true, 0, false, 0));
        HttpResponse<String> withIdentifier = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        HttpResponse<String> withoutIdentifier = fleet.call(0, "POST", "/open/b", "x");
        fleet.setPlatformFaults(PlatformFaults.NONE);
        HttpResponse<String> again = callUntilVerdict("completed", 0, "/open/a", "x", ID, "i1");

        assertThat(verdict(withIdentifier)).isEqualTo("not-run");
        assertThat(withIdentifier.body()).contains("\"code\":2001", "\"earlierCalls\":\"unknown\"");
        assertThat(verdict(withoutIdentifier)).isEqualTo("completed");
        assertThat(verdict(again)).isEqualTo("completed");
        assertThat(fleet.upstream.executedRequests()).containsOnlyOnce("POST /a x");
    }

    @Test
    void requestWhoseClaimReplyWasLostRunsOnce() throws Exception {
        fleet.setPlatformFaults(new PlatformFaults(false, 0, true, 0));
        HttpResponse<String> first = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        fleet.setPlatformFaults(PlatformFaults.NONE);
        HttpResponse<String> again = callUntilVerdict("completed", 1, "/open/a", "x", ID, "i1");

        assertThat(verdict(first)).isEqualTo("not-run");
        assertThat(verdict(again)).isEqualTo("completed");
        assertThat(fleet.upstream.executedRequests()).containsExactly("POST /a x");
    }

    @ParameterizedTest
    @CsvSource({
        "/nowhere/a, Chervillift-Deadline-Ms, 100, 404",
        "/open/a, Chervillift-Deadline-Ms, soon, 400",
        "/open/a, Chervillift-Deadline-Ms, 0, 400",
        "/open/a, Authorization, Basic abc, 400",
        "/closed/a, Authorization, Bearer wrong, 401",
        "/closed/a, Accept, text/plain, 401",
        "/open/a, Idempotency-Key, 'two words', 400"
    })
    void invalidRequestIsRejectedAndDoesNotRun(String path, String name, String value, int status)
            throws Exception {
        HttpResponse<String> response = fleet.call(0, "POST", path, "x", name, value);

        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(verdict(response)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void bodyThatIsTooLargeIsRefused() throws Exception {
        HttpResponse<String> response = fleet.call(0, "POST", "/open/a", "x".repeat(65 * 1024));

        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(verdict(response)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void idleConnectionsDoNotBlockOtherCallers() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            idle.add(new Socket(fleet.address(0).host(), fleet.address(0).port()));
        }
        HttpResponse<String> response = fleet.call(0, "POST", "/open/a", "x");
        for (Socket s : idle) {
            s.close();
        }

        assertThat(verdict(response)).isEqualTo("completed");
    }

    @Test
    void clientThatSendsOneByteAtATimeIsDisconnected() throws Exception {
        try (Socket slow = new Socket(fleet.address(0).host(), fleet.address(0).port())) {
            byte[] head = "POST /queues/open/a HTTP/1.1\r\n".getBytes(StandardCharsets.UTF_8);
            int sent = 0;
            try {
                while (sent < head.length) {
                    slow.getOutputStream().write(head[sent]);
                    sent++;
                    TimeUnit.SECONDS.sleep(1);
                }
            } catch (IOException e) {
                assertThat(sent).isLessThan(head.length);
            }
            assertThat(sent).isLessThan(head.length);
        }
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    /**
     * Repeats a request until it gets a verdict: a repeat gets may-have-run until the outcome of
     * the first call is recorded.
     */
    private HttpResponse<String> callUntilVerdict(
            String verdict, int daemon, String path, String body, String... headers)
            throws Exception {
        HttpResponse<String> response = fleet.call(daemon, "POST", path, body, headers);
        for (int i = 0; i < 100 && !verdict(response).equals(verdict); i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            response = fleet.call(daemon, "POST", path, body, headers);
        }
        return response;
    }

    private static String verdict(HttpResponse<String> response) {
        return response.headers().firstValue("Chervillift-Verdict").orElse("");
    }
}
