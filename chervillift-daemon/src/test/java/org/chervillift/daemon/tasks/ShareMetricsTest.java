package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against figures of pools in which customers no longer compete. */
class ShareMetricsTest {

    private final TaskMetrics metrics = new TaskMetrics();

    private String text() {
        return new String(metrics.toPrometheusText(), StandardCharsets.UTF_8);
    }

    @Test
    void poolsWithoutCompetitionAndFormerHoldersHaveNoSeries() {
        metrics.shares().setCustomersBeyondShare(Map.of("a", 2));
        assertThat(text()).contains("chervillift_customers_beyond_share{pool=\"a\"} 2.0");

        metrics.shares().setCustomersBeyondShare(Map.of("b", 1));
        assertThat(text()).contains("{pool=\"b\"} 1.0").doesNotContain("share{pool=\"a\"}");

        metrics.clearHolderMetrics();
        assertThat(text()).doesNotContain("customers_beyond_share{");
    }
}
