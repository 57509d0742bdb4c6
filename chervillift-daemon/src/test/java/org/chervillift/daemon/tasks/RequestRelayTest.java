package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.relay.RelayPeers;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Relays requests between entry VMs in virtual time, under rejections by the store. */
class RequestRelayTest extends RelayTestBase {

    private static final String OTHER_JOB = "5c0e7a21d94b36f9";
    private static final int REQUESTS = 100;
    private static final long MAX_REFUSAL_MILLIS = 20;

    /** Guards against 503 answers from the entry VMs that the store rejects, while others work. */
    @Test
    void callersOfAnEntryVmThatTheStoreRejectsAreServed() {
        startNodes("a", "b");
        reject("a");

        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
        fixture.advanceMillis(2_000);
        assertThat(ask("a", Action.READ))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        assertThat(ask("a", Action.CANCEL)).isInstanceOf(JobAnswer.Cancelled.class);
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    /** The first request after the store began to reject is not known to fail before it does. */
    @Test
    void aWriteThatTheStoreRejectedIsRelayed() {
        startNodes("a", "b");
        stores.get("a").failJobWrites(StoreException.Effect.NONE);

        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
        assertThat(network.sent()).hasSize(1);
    }

    /** Guards against a refusal by a peer after a write of the sender that may be in effect. */
    @Test
    void afterAnOwnWriteOfUnknownOutcomeAPeerIsAskedAndNothingIsRefused() {
        startNodes("a", "b");
        stores.get("a").failJobWrites(StoreException.Effect.UNKNOWN);
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);

        stores.get("b").setRejecting(true);
        assertThat(fixture.ask(nodes.get("a"), Action.SUBMIT, "5c0e7a21d94b36f9"))
                .isInstanceOf(JobAnswer.OutcomeUnknown.class);
    }

    @Test
    void aKeyThatTheSenderDoesNotKnowYetIsJudgedByAPeer() {
        startNodes("a", "b");
        stores.get("a").setFeedsRejected(true);
        fixture.advanceMillis(3_000);
        fixture.configure(fixture.manifest(2, Set.of(NodeFixture.KEY, NEW_KEY)));
        fixture.advanceMillis(1_000);

        assertThat(submit("a", NEW_KEY)).isInstanceOf(JobAnswer.Accepted.class);
        assertThat(submit("a", "unknown")).isInstanceOf(JobAnswer.KeyRefused.class);
    }

    /** Guards against loops and against load that multiplies while the store is down for all. */
    @Test
    void whileTheStoreRejectsAllEntryVmsAnswersAreFastAndFewRequestsAreRelayedAndOnceOnly() {
        startNodes("a", "b", "c", "d");
        reject("a", "b", "c", "d");

        for (int i = 0; i < REQUESTS; i++) {
            long start = fixture.scheduler.now().toEpochMilli();
            assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Unavailable.class);
            assertThat(fixture.scheduler.now().toEpochMilli() - start)
                    .isLessThanOrEqualTo(MAX_REFUSAL_MILLIS);
            fixture.advanceMillis(10);
        }
        assertThat(network.sent()).hasSizeLessThan(REQUESTS / 10);
        assertThat(network.sent()).allMatch(s -> s.startsWith("a to "));
    }

    /** The store goes silent for all, and the peers do not know it yet: their calls hang. */
    @Test
    void ifTheStoreGoesSilentForAllFewCallersWaitForPeers() {
        startNodes("a", "b", "c", "d");
        reject("a");
        fixture.store.setFault(StoreFault.SILENT);
        List<CompletionStage<JobAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            answers.add(
                    nodes.get("a").answer(request(Action.SUBMIT, Optional.of(NodeFixture.KEY))));
            fixture.advanceMillis(10);
        }

        assertThat(answers.stream().filter(a -> !a.toCompletableFuture().isDone()))
                .hasSizeLessThanOrEqualTo(RelayPeers.MAX_IN_FLIGHT_UNPROVEN);
        assertThat(network.sent()).hasSizeLessThanOrEqualTo(2 * RelayPeers.MAX_IN_FLIGHT_UNPROVEN);
    }

    @Test
    void relayingResumesWhenAPeerIsServedAgain() {
        startNodes("a", "b", "c", "d");
        reject("a", "b", "c", "d");
        for (int i = 0; i < REQUESTS; i++) {
            ask("a", Action.SUBMIT);
        }
        stores.get("d").setRejecting(false);
        fixture.advanceMillis(5_000);
        List<JobAnswer> answers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            answers.add(ask("a", Action.SUBMIT));
            fixture.advanceMillis(100);
        }

        assertThat(answers.getLast()).isInstanceOf(JobAnswer.Accepted.class);
    }

    @Test
    void aPeerThatIsGoneIsPassedOverAndARefusalSaysThatNothingHasRunOnlyIfThatIsTrue() {
        startNodes("a", "b", "c");
        reject("a");
        network.setGone("b");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);

        network.setGone("c");
        fixture.advanceMillis(3_000);
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    /** Guards against "has not run" for a job that a peer stored before it was lost. */
    @Test
    void aJobThatAPeerStoredBeforeItWasLostIsNeverRefused() {
        startNodes("a", "b", "c");
        reject("a", "c");
        network.setLosingReplies("b");

        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);
        fixture.advanceMillis(2_000);
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    @Test
    void aJobWhosePeerWasLostIsAcceptedByTheNextPeerAndRunsOnce() {
        startNodes("a", "b", "c");
        reject("a");
        network.setLosingReplies("b");

        for (int i = 0; i < 3; i++) {
            assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
        }
        fixture.advanceMillis(2_000);
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    @Test
    void aSilentPeerIsWaitedForNoLongerThanTheCallerWaits() {
        startNodes("a", "b");
        reject("a");
        network.setSilent("b");
        JobRequest request = request(Action.SUBMIT, Optional.of(NodeFixture.KEY));
        JobRequest hurried =
                new JobRequest(
                        request.action(),
                        request.host(),
                        request.path(),
                        request.key(),
                        request.decode(),
                        "",
                        Optional.of(Duration.ofMillis(300)));

        CompletionStage<JobAnswer> answer = nodes.get("a").answer(hurried);
        fixture.advanceMillis(299);
        assertThat(answer.toCompletableFuture()).isNotDone();
        fixture.advanceMillis(2);
        assertThat(answer.toCompletableFuture())
                .isCompletedWithValue(new JobAnswer.OutcomeUnknown());
    }

    /** Guards against memory and sockets that grow with the callers while a peer is silent. */
    @Test
    void atMostTheBoundOfRequestsIsInFlight() {
        startNodes("a", "b");
        reject("a");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
        network.setSilent("b");
        int before = network.sent().size();
        List<CompletionStage<JobAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < 3 * RelayPeers.MAX_IN_FLIGHT; i++) {
            answers.add(nodes.get("a").answer(request(Action.READ, Optional.of(NodeFixture.KEY))));
        }

        assertThat(network.sent()).hasSize(before + RelayPeers.MAX_IN_FLIGHT);
        fixture.advanceMillis(2_500);
        assertThat(answers).allMatch(a -> a.toCompletableFuture().isDone());
    }

    @Test
    void aBodyBeyondTheBoundIsNotRelayed() {
        startNodes("a", "b");
        reject("a");
        JobRequest request = request(Action.SUBMIT, Optional.of(NodeFixture.KEY));
        JobRequest large =
                new JobRequest(
                        request.action(),
                        request.host(),
                        request.path(),
                        request.key(),
                        request.decode(),
                        "x".repeat(RequestRelay.MAX_BODY_LENGTH + 1),
                        Optional.empty());

        assertThat(fixture.await(nodes.get("a").answer(large)))
                .isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(network.sent()).isEmpty();
    }

    /** Lets the customer run less than a task of the job asks for, so that it is rejected. */
    private void lowerLimit() {
        Manifest plain = fixture.manifest(2, Set.of(NodeFixture.KEY));
        Resources limit = new Resources(1, 0, 0);
        fixture.configure(
                Manifest.of(
                        2,
                        plain.routes(),
                        List.copyOf(plain.pools().values()),
                        List.of(new Customer("distiller", Set.of(NodeFixture.KEY), 1, limit)),
                        plain.maxBodyBytes()));
        fixture.advanceMillis(500);
    }

    /** Guards against "has not run" from a peer for a job that an earlier own write may store. */
    @Test
    void aPeersRejectionIsNotPassedOnWhileAnEarlierSubmissionMayHaveStoredTheJob() {
        startNodes("a", "b");
        stores.get("a").failJobWrites(StoreException.Effect.UNKNOWN);
        network.setGone("b");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);

        network.setGone("b", false);
        lowerLimit();
        reject("a");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);
        assertThat(fixture.ask(nodes.get("a"), Action.SUBMIT, OTHER_JOB))
                .isInstanceOf(JobAnswer.TooLarge.class);
    }

    /** Guards against "has not run" for a job that a peer may still store. */
    @Test
    void aJobThatWasSentToASilentPeerIsNotRejectedHereAfterwards() {
        startNodes("a", "b");
        reject("a");
        network.setSilent("b");
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);

        stores.get("a").setRejecting(false);
        fixture.advanceMillis(3_000);
        lowerLimit();
        assertThat(fixture.ask(nodes.get("a"), Action.SUBMIT, OTHER_JOB))
                .isInstanceOf(JobAnswer.TooLarge.class);
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.Accepted.class);
    }

    /** Guards against "has not run" from a failed write after one that may have stored the job. */
    @Test
    void aWriteThatDidNothingIsNoRefusalAfterOneOfUnknownOutcome() {
        startNodes("a");
        stores.get("a").failJobWrites(StoreException.Effect.UNKNOWN);
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);

        fixture.advanceMillis(1_000);
        stores.get("a").failJobWrites(StoreException.Effect.NONE);
        assertThat(ask("a", Action.SUBMIT)).isInstanceOf(JobAnswer.OutcomeUnknown.class);
        fixture.advanceMillis(1_000);
        assertThat(fixture.ask(nodes.get("a"), Action.SUBMIT, OTHER_JOB))
                .isInstanceOf(JobAnswer.Unavailable.class);
    }
}
