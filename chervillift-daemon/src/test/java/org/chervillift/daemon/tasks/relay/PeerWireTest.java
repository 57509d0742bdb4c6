package org.chervillift.daemon.tasks.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.core.tasks.relay.RelayCause;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.http.Stages;
import org.chervillift.platform.fleet.JobServlet;
import org.chervillift.platform.fleet.SampleJobs;
import org.chervillift.runtime.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the format of relayed requests and answers over real connections. */
class PeerWireTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final List<JobAnswer> ANSWERS =
            List.of(
                    new JobAnswer.Accepted(),
                    new JobAnswer.Cancelled(),
                    new JobAnswer.State(JobStatus.of(JobState.RUNNING)),
                    new JobAnswer.State(
                            new JobStatus(
                                    JobState.FAILED,
                                    Optional.of(
                                            new JobFailure(
                                                    JobFailure.Cause.WORKER_CRASHED,
                                                    "t \"ü\"",
                                                    3)))),
                    new JobAnswer.Pending(7),
                    new JobAnswer.NoSuchQueue(),
                    new JobAnswer.NoSuchJob(),
                    new JobAnswer.KeyRefused(),
                    new JobAnswer.NotAllowed(),
                    new JobAnswer.Malformed("no \"step\"\n"),
                    new JobAnswer.TooLarge("too large"),
                    new JobAnswer.TooBusy(Duration.ofMillis(1_250)),
                    new JobAnswer.Unavailable("why", Duration.ofNanos(1)),
                    new JobAnswer.OutcomeUnknown());

    private final ReactorThread thread = new ReactorThread("peer-wire-test");
    private final List<JobRequest> received = new ArrayList<>();
    private CompletionStage<RelayedAnswer> answer = new CompletableFuture<>();
    private boolean throwing;
    private HostPort address;
    private PeerClient client;

    @BeforeEach
    void listen() {
        address = freeAddress();
        client =
                new PeerClient(
                        a ->
                                new JsonClient(
                                        thread.reactor(),
                                        a,
                                        Duration.ofSeconds(2),
                                        Optional.empty()));
        thread.await(
                () -> {
                    serve();
                    return Promise.complete();
                });
    }

    private void serve() {
        PeerServlet servlet = new PeerServlet(this::handle, JobServlet::decodeJob);
        try {
            HttpServer.builder(thread.reactor(), servlet)
                    .withListenAddress(address.toSocketAddress())
                    .build()
                    .listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @AfterEach
    void close() {
        thread.close();
    }

    private static HostPort freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private CompletionStage<RelayedAnswer> handle(JobRequest request) {
        received.add(request);
        if (throwing) {
            throw new IllegalStateException("thrown by a test");
        }
        return answer;
    }

    private static RelayedRequest request(String body) {
        return new RelayedRequest(
                Action.SUBMIT, "h.example", "/q/" + JOB, Optional.of("key"), body, 800);
    }

    private PeerReply send(HostPort to, RelayedRequest request) {
        return thread.await(() -> Stages.toPromise(client.send(to.toString(), request)));
    }

    /** Guards against an answer that a caller of the sender would be told differently. */
    @Test
    void eachAnswerArrivesAsItWasGiven() {
        assertThat(ANSWERS.stream().map(JobAnswer::getClass).distinct())
                .hasSize(JobAnswer.class.getPermittedSubclasses().length);
        for (JobAnswer given : ANSWERS) {
            RelayedAnswer whole = new RelayedAnswer(given, Optional.empty());
            answer = CompletableFuture.completedFuture(whole);
            assertThat(send(address, request(""))).isEqualTo(new PeerReply.Answered(whole));
        }
        for (RelayCause cause : RelayCause.values()) {
            RelayedAnswer refused = new RelayedAnswer(ANSWERS.getLast(), Optional.of(cause));
            answer = CompletableFuture.completedFuture(refused);
            assertThat(send(address, request(""))).isEqualTo(new PeerReply.Answered(refused));
        }
    }

    @Test
    void aRequestArrivesAsTheCallerSentIt() {
        answer =
                CompletableFuture.completedFuture(
                        new RelayedAnswer(new JobAnswer.Accepted(), Optional.empty()));
        send(address, request(SampleJobs.TWO_STEPS));

        JobRequest arrived = received.getFirst();
        assertThat(arrived.action()).isEqualTo(Action.SUBMIT);
        assertThat(arrived.host()).isEqualTo("h.example");
        assertThat(arrived.path()).isEqualTo("/q/" + JOB);
        assertThat(arrived.key()).contains("key");
        assertThat(arrived.callerWait()).contains(Duration.ofMillis(800));
        assertThat(arrived.decode().apply(JOB))
                .isEqualTo(JobServlet.decodeJob(JOB, SampleJobs.TWO_STEPS));
    }

    /** Guards against a 504 where nothing was sent, since no process listens. */
    @Test
    void aPeerWithoutAProcessIsKnownNotToHaveReceivedTheRequest() {
        assertThat(send(freeAddress(), request(""))).isInstanceOf(PeerReply.NotReached.class);
    }

    /** Guards against memory that grows with the requests that others relay here. */
    @Test
    void aRequestBeyondTheBoundIsAnsweredBusyAndNotHandled() {
        Object first =
                thread.await(
                        () -> {
                            CompletableFuture<?>[] replies =
                                    IntStream.rangeClosed(0, PeerServlet.MAX_HANDLED)
                                            .mapToObj(
                                                    i ->
                                                            client.send(
                                                                    address.toString(),
                                                                    request("")))
                                            .map(CompletionStage::toCompletableFuture)
                                            .toArray(CompletableFuture<?>[]::new);
                            return Stages.toPromise(CompletableFuture.anyOf(replies));
                        });
        assertThat(received).hasSize(PeerServlet.MAX_HANDLED);
        assertThat(first)
                .isInstanceOfSatisfying(
                        PeerReply.Answered.class,
                        a -> assertThat(a.answer().cause()).contains(RelayCause.BUSY));
    }

    /** Guards against a peer that is busy for ever after faults in its handling of requests. */
    @Test
    void aRequestWhoseHandlingThrowsCountsNoLongerAsHandled() {
        throwing = true;
        for (int i = 0; i < PeerServlet.MAX_HANDLED; i++) {
            assertThat(send(address, request(""))).isInstanceOf(PeerReply.NoAnswer.class);
        }
        throwing = false;
        RelayedAnswer accepted = new RelayedAnswer(new JobAnswer.Accepted(), Optional.empty());
        answer = CompletableFuture.completedFuture(accepted);
        assertThat(send(address, request(""))).isEqualTo(new PeerReply.Answered(accepted));
    }

    @Test
    void aMessageThatIsNoRequestIsNotHandled() {
        JsonClient raw =
                new JsonClient(thread.reactor(), address, Duration.ofSeconds(2), Optional.empty());
        for (String body : Arrays.asList("", "{", "7", "{\"action\":\"SUBMIT\"}")) {
            int status =
                    thread.await(
                            () ->
                                    raw.send(HttpMethod.POST, PeerServlet.PATH, Optional.of(body))
                                            .map(a -> a.status()));
            assertThat(status).isEqualTo(400);
        }
        assertThat(received).isEmpty();
    }
}
