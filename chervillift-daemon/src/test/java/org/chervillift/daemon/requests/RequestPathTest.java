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

/** The real daemon over loopback, with an upstream that misbehaves byte for byte. */
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
    void aRepeatThroughAnotherEntryVmGetsTheFirstAnswer() throws Exception {
        HttpResponse<String> first = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        HttpResponse<String> second = until("completed", 1, "/open/a", "x", ID, "i1");

        assertThat(verdict(first)).isEqualTo("completed");
        assertThat(second.body()).isEqualTo(first.body()).isEqualTo("POST /a x");
        assertThat(second.headers().firstValue("X-Of-Upstream")).hasValue("yes");
        assertThat(fleet.upstream.executedRequests()).hasSize(1);
    }

    @Test
    void anIdentifierWithOtherContentIsRefused() throws Exception {
        fleet.call(0, "POST", "/open/a", "x", ID, "i1");

        HttpResponse<String> other = fleet.call(1, "POST", "/open/a", "y", ID, "i1");

        assertThat(other.statusCode()).isEqualTo(409);
        assertThat(verdict(other)).isEqualTo("not-run");
        assertThat(other.body()).contains("\"code\":1009").doesNotContain("POST");
        assertThat(fleet.upstream.executedRequests()).hasSize(1);
    }

    @Test
    void theIdentifierOfAnotherTeamIsAnotherRequest() throws Exception {
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
    void aCutAnswerIsNeverWhole(String path) throws Exception {
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
    void aConnectionWithoutAnAnswerIsClosedWhenItsTimeIsOver() throws Exception {
        HttpResponse<String> answer = fleet.call(0, "POST", "/open/silent", "x", DEADLINE, "200");

        assertThat(verdict(answer)).isEqualTo("may-have-run");
        assertThat(fleet.upstream.closedByDaemon.await(5, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aLateAnswerIsDropped() throws Exception {
        HttpResponse<String> late = fleet.call(0, "POST", "/open/late", "x", DEADLINE, "200");
        fleet.upstream.responsePermits.release();
        HttpResponse<String> next = fleet.call(0, "POST", "/open/next", "y");

        assertThat(late.statusCode()).isEqualTo(504);
        assertThat(verdict(late)).isEqualTo("may-have-run");
        assertThat(next.body()).isEqualTo("POST /next y");
    }

    @Test
    void aRefusedConnectionIsNotRun() throws Exception {
        HttpResponse<String> answer = fleet.call(0, "POST", "/gone/a", "x");

        assertThat(verdict(answer)).isEqualTo("not-run");
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void anUpstreamThatSaysItIsLeavingGetsNothingMore() throws Exception {
        HttpResponse<String> told = fleet.call(0, "POST", "/open/leaving", "x");
        HttpResponse<String> next = fleet.call(0, "POST", "/open/a", "x");

        assertThat(verdict(told)).isEqualTo("not-run");
        assertThat(verdict(next)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void withoutTheStoreAnIdentifierIsNotTakenAndTheRestGoesOn() throws Exception {
        fleet.setPlatformFaults(new PlatformFaults(true, 0, false, 0));
        HttpResponse<String> named = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        HttpResponse<String> plain = fleet.call(0, "POST", "/open/b", "x");
        fleet.setPlatformFaults(PlatformFaults.NONE);
        HttpResponse<String> again = until("completed", 0, "/open/a", "x", ID, "i1");

        assertThat(verdict(named)).isEqualTo("not-run");
        assertThat(named.body()).contains("\"code\":2001", "\"earlierCalls\":\"unknown\"");
        assertThat(verdict(plain)).isEqualTo("completed");
        assertThat(verdict(again)).isEqualTo("completed");
        assertThat(fleet.upstream.executedRequests()).containsOnlyOnce("POST /a x");
    }

    @Test
    void aClaimWhoseReplyWasLostRunsOnce() throws Exception {
        fleet.setPlatformFaults(new PlatformFaults(false, 0, true, 0));
        HttpResponse<String> first = fleet.call(0, "POST", "/open/a", "x", ID, "i1");
        fleet.setPlatformFaults(PlatformFaults.NONE);
        HttpResponse<String> again = until("completed", 1, "/open/a", "x", ID, "i1");

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
    void badInputGetsAClearAnswerAndNothingRuns(String path, String name, String value, int status)
            throws Exception {
        HttpResponse<String> answer = fleet.call(0, "POST", path, "x", name, value);

        assertThat(answer.statusCode()).isEqualTo(status);
        assertThat(verdict(answer)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void aBodyThatIsTooLargeIsRefused() throws Exception {
        HttpResponse<String> answer = fleet.call(0, "POST", "/open/a", "x".repeat(65 * 1024));

        assertThat(answer.statusCode()).isEqualTo(413);
        assertThat(verdict(answer)).isEqualTo("not-run");
        assertThat(fleet.upstream.executedRequests()).isEmpty();
    }

    @Test
    void idleConnectionsKeepNobodyOut() throws Exception {
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            idle.add(new Socket(fleet.address(0).host(), fleet.address(0).port()));
        }
        HttpResponse<String> answer = fleet.call(0, "POST", "/open/a", "x");
        for (Socket s : idle) {
            s.close();
        }

        assertThat(verdict(answer)).isEqualTo("completed");
    }

    @Test
    void aClientThatSendsByteByByteIsCutOff() throws Exception {
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

    /** A repeat is answered may-have-run until the end of the first call is recorded. */
    private HttpResponse<String> until(
            String verdict, int daemon, String path, String body, String... headers)
            throws Exception {
        HttpResponse<String> answer = fleet.call(daemon, "POST", path, body, headers);
        for (int i = 0; i < 100 && !verdict(answer).equals(verdict); i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            answer = fleet.call(daemon, "POST", path, body, headers);
        }
        return answer;
    }

    private static String verdict(HttpResponse<String> answer) {
        return answer.headers().firstValue("Chervillift-Verdict").orElse("");
    }
}
