package org.chervillift.core.tasks.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.PoolLoad;
import org.junit.jupiter.api.Test;

class StartForecasterTest {

    private static final Resources TASK = new Resources(1_000, 100, 0);
    private static final long ON_TIME_MILLIS = 60_000;
    private static final Map<String, Long> RATES = Map.of("p", 10_000L);

    private static QueueRoute route(String queue, int priority) {
        return new QueueRoute(
                "h",
                "/" + queue + "/",
                true,
                new QueuePolicy(queue, "p", priority, 1, 1, 600, false));
    }

    private static final Manifest MANIFEST =
            Manifest.of(1, List.of(route("urgent", 0), route("later", 3)), List.of(), List.of(), 1);

    private static long limit(String customer) {
        return customer.equals("capped") ? 4_000 : Long.MAX_VALUE;
    }

    private static WaitingWork work(String queue, int priority, String customer, double work) {
        return new WaitingWork(
                queue, "p", priority, customer, limit(customer), ON_TIME_MILLIS, TASK, work, work);
    }

    private static List<QueueForecast> forecast(WaitingWork... waiting) {
        return StartForecaster.forecast(MANIFEST, RATES, List.of(waiting));
    }

    private static void assertStarts(List<QueueForecast> forecasts, long millis) {
        assertThat(forecasts).singleElement().extracting(QueueForecast::queue).isEqualTo("later");
        assertThat(forecasts.getFirst().startMillis()).isBetween((long) (millis / 1.2), millis);
    }

    @Test
    void onlyMoreUrgentWorkDelaysAJob() {
        assertThat(forecast(work("later", 3, "", 50_000_000))).isEmpty();
        assertStarts(forecast(work("urgent", 0, "", 50_000_000)), 5_000);
    }

    /** What a customer's limit keeps waiting takes no room from a new job of others. */
    @Test
    void workBeyondACustomersLimitDelaysNobody() {
        assertThat(forecast(work("urgent", 0, "capped", 50_000_000))).isEmpty();
        assertStarts(
                forecast(
                        work("urgent", 0, "capped", 500_000_000), work("urgent", 0, "", 6_000_000)),
                1_000);
    }

    /** Guards against forecasts that count work for longer than its jobs are on time. */
    @Test
    void workThatWillBeLateDelaysAJobOnlyUntilThen() {
        assertStarts(
                forecast(
                        new WaitingWork("urgent", "p", 0, "", Long.MAX_VALUE, 900, TASK, 5e8, 5e8)),
                900);
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
