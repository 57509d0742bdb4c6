package org.chervillift.core.tasks.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.PoolLoad;
import org.junit.jupiter.api.Test;

class StartForecasterTest {

    private static final Map<String, Long> RATES = Map.of("p", 10_000L);

    private static QueueRoute route(String queue, int priority) {
        return new QueueRoute(
                "h",
                "/" + queue + "/",
                true,
                new QueuePolicy(queue, "p", priority, 1, 1, 600, false));
    }

    private static final Manifest MANIFEST =
            Manifest.of(
                    1,
                    List.of(route("urgent", 0), route("later", 3)),
                    List.of(),
                    List.of(new Customer("capped", Set.of("k"), 1, new Resources(4_000, 0, 0))),
                    1);

    private static WaitingWork work(String queue, int priority, String customer, double work) {
        return new WaitingWork(queue, "p", priority, customer, work, work, 2);
    }

    private static List<QueueForecast> forecast(WaitingWork... waiting) {
        return StartForecaster.forecast(MANIFEST, RATES, List.of(waiting));
    }

    @Test
    void lessUrgentWorkDelaysNoUrgentJob() {
        assertThat(forecast(work("later", 3, "", 50_000_000)))
                .containsExactly(new QueueForecast("later", 5_000, 0, 25_000_000, 100));
        assertThat(forecast(work("urgent", 0, "", 50_000_000)))
                .contains(new QueueForecast("later", 5_000, 5_000, 0, 100));
    }

    /** What a customer's limit keeps waiting takes no room from a new job of others. */
    @Test
    void workBeyondACustomersLimitDelaysNobody() {
        assertThat(forecast(work("urgent", 0, "capped", 50_000_000))).isEmpty();
        List<QueueForecast> mixed =
                forecast(
                        work("urgent", 0, "capped", 500_000_000), work("urgent", 0, "", 6_000_000));
        assertThat(mixed.getFirst().startMillis()).isBetween(1_000L, 1_001L);
    }

    /** VMs of standby pools, and those that another pool does not need, may still move. */
    @Test
    void coresThatMayStillMoveIntoAPoolCount() {
        Map<String, PoolLoad> loads =
                Map.of(
                        "p", new PoolLoad(4_000, 9_000, 0, 0),
                        "busy", new PoolLoad(3_000, 0, 4_000, 0));
        List<ListedFleetVm> vms = List.of(vm("a", "p"), vm("b", "busy"), vm("c", "off"));
        assertThat(PoolRates.highest(vms, loads, Set.of("off"), Map.of()))
                .containsEntry("p", 9_000L)
                .containsEntry("busy", 8_000L);
        assertThat(PoolRates.highest(vms, loads, Set.of("off"), Map.of("p", 20_000L)))
                .containsEntry("p", 20_000L);
    }

    private static ListedFleetVm vm(String name, String pool) {
        return new ListedFleetVm(
                name,
                pool,
                ListedFleetVm.Status.DOWN,
                "dc",
                List.of(),
                new Resources(4_000, 1, 0),
                "");
    }
}
