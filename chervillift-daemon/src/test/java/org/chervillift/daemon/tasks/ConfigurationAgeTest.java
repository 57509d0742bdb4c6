package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class ConfigurationAgeTest extends TaskNodeFixture {

    private static final String NEW_KEY = "newer-key";
    private static final long SILENCE_MILLIS = 4_000;

    private JobAnswer submit(TaskNode node, String key) {
        return await(node.answer(request(Action.SUBMIT, JOB, key, 1)));
    }

    private JobAnswer submitElsewhere(TaskNode node) {
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

    /** The feed of the configuration stands still while a key is added. */
    @Test
    void noKeyOrQueueIsRefusedByAnOldConfiguration() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(3_000);
        view.loseFeeds(true);
        pass(2_100);
        configure(manifest(2, Set.of("key", NEW_KEY)));
        pass(SILENCE_MILLIS);

        assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(submitElsewhere(a)).isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(submit(a, "key")).isInstanceOf(JobAnswer.Accepted.class);

        view.loseFeeds(false);
        pass(SILENCE_MILLIS);
        assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.Accepted.class);
    }

    @Test
    void aKeyOrQueueThatIsNotThereIsRefusedWhileTheConfigurationIsFollowed() {
        TaskNode a = runningNode("a");
        for (int i = 0; i < 20; i++) {
            pass(310);
            assertThat(submit(a, NEW_KEY)).isInstanceOf(JobAnswer.KeyRefused.class);
            assertThat(submitElsewhere(a)).isInstanceOf(JobAnswer.NoSuchQueue.class);
        }
    }
}
