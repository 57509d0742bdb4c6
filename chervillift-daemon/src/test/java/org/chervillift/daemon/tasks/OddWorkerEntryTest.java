package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests entries that another writer left among those of the workers: one with an address that is no
 * address kept a new holder from opening sessions with the workers after it.
 */
class OddWorkerEntryTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String ENTRY =
            "{\"backend\":\"proofs\",\"address\":\"127.0.0.1:1\",\"zone\":\"dc\","
                    + "\"state\":\"ready\","
                    + "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768},\"sequence\":4}";

    private final NodeFixture fixture = new NodeFixture();

    static List<String> oddEntries() {
        return List.of(
                ENTRY.replace("127.0.0.1:1", "pending"),
                ENTRY.replace("127.0.0.1:1", "127.0.0.1:70000"),
                ENTRY.replace("16000", "1e400"),
                ENTRY.replace("16000", "9223372036854775807"),
                "{\"state\":".repeat(10_000),
                "[".repeat(10_000),
                "\u0000\u0001");
    }

    @ParameterizedTest
    @MethodSource("oddEntries")
    void anOddEntryDoesNotKeepTheWorkersAfterItFromRunningTasks(String value) {
        fixture.addWorker("a-odd", "vm-odd", NodeFixture.POOL, 10_000);
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 10_000);
        TaskNode holder = fixture.startNodeAndWait("a");
        TaskNode successor = fixture.startNodeAndWait("b");
        fixture.store.put(new RowKey(new FleetRowCodec().workerTable(), "a-odd"), value);
        fixture.advanceMillis(1_000);
        holder.drain();
        fixture.advanceMillis(3_000);

        fixture.ask(successor, JobRequest.Action.SUBMIT, JOB);
        fixture.advanceMillis(3_000);
        assertThat(fixture.ask(successor, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }
}
