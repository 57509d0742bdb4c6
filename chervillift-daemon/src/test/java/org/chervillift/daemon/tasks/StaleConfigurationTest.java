package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class StaleConfigurationTest extends TaskNodeTestBase {

    private static final String NEW_KEY = "newer-key";
    private static final long FEED_OUTAGE_MILLIS = 4_000;

    private JobAnswer submit(TaskNode node, String key) {
        return await(node.answer(request(Action.SUBMIT, JOB, key, 1)));
    }

    private JobAnswer submitToUnknownHost(TaskNode node) {
        JobRequest request = request(Action.SUBMIT, JOB, "key", 1);
        return await(
                node.answer(
                        new JobRequest(
                                request.action(),
                                "other.example",
                                request.path(),
                                request.key(),
                                request.decode())));
    }

    /** Configuration changes are not received while a key is added. */
    @Test
    void noKeyOrQueueIsRefusedByAStaleConfiguration() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(3_000);
        faultyStore.setFeedsLost(true);
        advanceMillis(2_100);
        configure(manifest(2, Set.of("key", NEW_KEY)));
        advanceMillis(FEED_OUTAGE_MILLIS);

        assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(submitToUnknownHost(a)).isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(submit(a, "key")).isInstanceOf(JobAnswer.Accepted.class);

        faultyStore.setFeedsLost(false);
        advanceMillis(FEED_OUTAGE_MILLIS);
        assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.Accepted.class);
    }

    @Test
    void unknownKeyOrQueueIsRefusedWhileTheConfigurationIsCurrent() {
        TaskNode a = startNodeAndWait("a");
        for (int i = 0; i < 20; i++) {
            advanceMillis(310);
            assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.KeyRefused.class);
            assertThat(submitToUnknownHost(a)).isInstanceOf(JobAnswer.NoSuchQueue.class);
        }
    }
}
