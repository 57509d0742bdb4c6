package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskCrashes;
import org.chervillift.core.tasks.JobProgress.TaskFailures;
import org.chervillift.core.tasks.JobProgressHead;
import org.chervillift.core.tasks.ProgressPart;
import org.chervillift.http.Json;
import org.junit.jupiter.api.Test;

/** Tests the rows of progress that a holder leaves to its successor. */
class JobProgressRowTest {

    @Test
    void crashesAndTheReasonOfAFailureAreStored() {
        TaskCrashes crashes =
                new TaskCrashes(
                        List.of(3, 4),
                        List.of(4),
                        List.of(6),
                        List.of(new StartedRun(7, "w1", 1_700_000L)));
        TaskFailures failures = new TaskFailures(2, List.of(1), crashes);
        JobFailure failure = new JobFailure(JobFailure.Cause.WORKER_CRASHED, "a.0.1.2", 3);
        JobProgress progress =
                new JobProgress(
                        7,
                        JobState.FAILED,
                        List.of(
                                new StepProgress(
                                        0,
                                        1,
                                        List.of(0),
                                        List.of(failures),
                                        List.of("p"),
                                        List.of(new IndexRange(3, 9)))),
                        Optional.of(failure),
                        List.of(new IndexRange(0, 40)));

        assertThat(Json.decode(Json.encode(progress), JobProgress.class)).isEqualTo(progress);
    }

    /** An earlier release skips the fields that it does not know, but needs the list of steps. */
    @Test
    void theFirstRowOfAJobInPartsCannotBeReadByAnEarlierRelease() {
        JobProgressHead head =
                new JobProgressHead(
                        7, JobState.RUNNING, Optional.empty(), List.of(new IndexRange(0, 4)), 6);
        String row = Json.encode(head);

        assertThat(row).doesNotContain("steps");
        JobProgress read = Json.decode(row, JobProgress.class);
        assertThat(read.partsTerm()).contains(6L);
        assertThat(read.doneOccurrences()).containsExactly(new IndexRange(0, 4));
        assertThatThrownBy(
                        () -> Json.decode(row.replace(",\"partsTerm\":6", ""), JobProgress.class))
                .isInstanceOf(ChervilliftException.class);
    }

    @Test
    void partsOfAnEarlierTermAndOfDoneOccurrencesDoNotCount() {
        JobProgress progress =
                new JobProgress(
                        7,
                        JobState.RUNNING,
                        List.of(),
                        Optional.empty(),
                        List.of(new IndexRange(0, 4)),
                        Optional.of(6L));
        StepProgress done = new StepProgress(4, 0, List.of(), List.of(), List.of("p"), List.of());
        StepProgress open = new StepProgress(5, 0, List.of(), List.of(), List.of("p"), List.of());
        ProgressPart counts =
                Json.decode(Json.encode(new ProgressPart(6, open)), ProgressPart.class);

        assertThat(
                        progress.withParts(
                                        List.of(
                                                new ProgressPart(5, open),
                                                counts,
                                                new ProgressPart(7, done)))
                                .steps())
                .containsExactly(open);
    }

    @Test
    void aRowOfAnEarlierReleaseIsReadWithoutCrashesAndPools() {
        String row =
                "{\"term\":3,\"state\":\"RUNNING\",\"steps\":[{\"occurrence\":0,\"step\":1,"
                        + "\"done\":[0],\"failures\":[{\"task\":2,\"runs\":[1]}]}]}";

        JobProgress progress = Json.decode(row, JobProgress.class);

        assertThat(progress.failure()).isEmpty();
        assertThat(progress.doneOccurrences()).isEmpty();
        assertThat(progress.steps().getFirst().failures())
                .containsExactly(new TaskFailures(2, List.of(1), TaskCrashes.NONE));
        assertThat(progress.steps().getFirst().pools()).isEmpty();
        assertThat(progress.steps().getFirst().doneRanges()).isEmpty();
    }
}
