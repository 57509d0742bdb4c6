package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A call that breaks what its interface promises, once, must end no loop of the holder. */
class BrokenCallTest extends FaultyPlatformTestBase {

    private void assertJobCompletes(TaskNode node, String kind) {
        fixture.advanceMillis(20_000);
        assertThat(platform.isDone(kind)).as("the fault has come").isTrue();
        assertJobIsCompleted(node);
    }

    /** A worker whose poll ends in silence tells no end of a run any more. */
    @ParameterizedTest
    @EnumSource
    void pollOfAWorkerGoesOn(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("hold", fault, 1);
        fixture.advanceMillis(1_000);
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "hold");
    }

    /** A run whose order to start is never answered takes the worker's room for ever. */
    @ParameterizedTest
    @EnumSource
    void orderToStartIsDecidedAgain(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("start", fault, 1);
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "start");
    }

    /** While progress is not stored, all starts of new steps are held. */
    @ParameterizedTest
    @EnumSource
    void progressIsStoredAgain(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("commit progress", fault, 1);
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "commit progress");
    }

    /** A copy of the jobs that stands still lets the holder start nothing. */
    @ParameterizedTest
    @EnumSource
    void jobsAreFollowedAgain(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("follow jobs", fault, 1);
        fixture.advanceMillis(1_000);
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "follow jobs");
    }

    /** A holder that has not read all jobs starts nothing. */
    @ParameterizedTest
    @EnumSource
    void readingAtTheStartGoesOn(CallFault fault) {
        platform.failNext("scan progress", fault, 1);
        TaskNode node = startHolder();
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "scan progress");
    }

    /** A worker that is not stored as in use gets no session. */
    @ParameterizedTest
    @EnumSource
    void workersInUseAreStoredAgain(CallFault fault) {
        platform.failNext("commit held", fault, 1);
        TaskNode node = startHolder();
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "commit held");
    }

    /** A process whose lease write never ends neither renews, takes nor gives back the lease. */
    @ParameterizedTest
    @EnumSource
    void leaseIsWrittenAgain(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("commit holder", fault, 1);
        fixture.advanceMillis(1_000);
        fixture.ask(node, Action.SUBMIT, JOB);
        assertJobCompletes(node, "commit holder");
    }

    /** A submission that is never answered keeps the later ones of its partition waiting. */
    @ParameterizedTest
    @EnumSource
    void submissionsAreAnsweredAgain(CallFault fault) {
        TaskNode node = startHolder();
        platform.failNext("commit jobs", fault, 1);
        node.answer(NodeFixture.request(Action.SUBMIT, JOB, NodeFixture.KEY, 1));
        fixture.advanceMillis(5_000);
        assertThat(fixture.ask(node, Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        assertJobCompletes(node, "commit jobs");
    }

    /** Without lists of the VMs there are neither moves nor maintenance. */
    @ParameterizedTest
    @EnumSource
    void vmsAreListedAgain(CallFault fault) {
        startHolder();
        platform.failNext("list", fault, 1);
        fixture.advanceMillis(20_000);
        int before = platform.count("list");
        fixture.advanceMillis(1_000);
        assertThat(platform.count("list")).isGreaterThan(before);
    }
}
