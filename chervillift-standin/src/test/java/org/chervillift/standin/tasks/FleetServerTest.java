package org.chervillift.standin.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetVms.Duty;
import org.chervillift.api.platform.FleetVms.VmAnswer;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Changes;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.platform.WorkerCalls.HoldAnswer;
import org.chervillift.api.platform.WorkerCalls.StartCall;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.http.Stages;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.PlacementAdviceClient;
import org.chervillift.platform.fleet.RowStoreClient;
import org.chervillift.platform.fleet.VmClient;
import org.chervillift.platform.fleet.WorkerClient;
import org.chervillift.runtime.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Calls the stand-in through the adapter, so that what one writes the other must read. */
class FleetServerTest {

    private static final String HOST = "jobs.example";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Longer than the calls of a test between a start and the check that the run goes on. */
    private static final Duration RUN_TIME = Duration.ofMillis(1_000);

    private static final Duration LONGEST_WAIT = Duration.ofMillis(2_000);
    private static final TaskId TASK = new TaskId("5c0e7a21d94b36f8", 0, 1, 17);
    private static final RowKey KEY = new RowKey("jobs", "a");
    private static final String PART = "p";
    private static final Duty DUTY = new Duty("entry-1", 3);

    private final ReactorThread thread = new ReactorThread("fleet-server-test");
    private final String address = freeAddress();
    private final String workerAddress = freeAddress();
    private final RowStoreClient store =
            new RowStoreClient(client(address), client(address), client(address));
    private final VmClient vms = new VmClient(client(address));
    private final WorkerClient worker =
            new WorkerClient("worker-1", client(workerAddress), client(workerAddress));

    FleetServerTest() {
        thread.await(
                () -> {
                    FleetServer server = new FleetServer(thread.reactor(), HOST, RUN_TIME);
                    listen(server.routes(), address);
                    server.addWorkers(List.of(workerAddress))
                            .forEach(s -> listen(s, workerAddress));
                    return Promise.complete();
                });
    }

    @AfterEach
    void close() {
        thread.close();
    }

    private static String freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void listen(AsyncServlet servlet, String where) {
        try {
            HttpServer.builder(thread.reactor(), servlet)
                    .withListenAddress(HostPort.parse(where).toSocketAddress())
                    .build()
                    .listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private JsonClient client(String where) {
        return new JsonClient(thread.reactor(), HostPort.parse(where), TIMEOUT, Optional.empty());
    }

    private <T> T await(Supplier<CompletionStage<T>> call) {
        return thread.await(() -> Stages.toPromise(call.get()));
    }

    private Outcome commit(long expectedVersion, Write write) {
        return await(
                () ->
                        store.commit(
                                PART,
                                List.of(new Condition(KEY, expectedVersion)),
                                List.of(write)));
    }

    private void setFault(StoreFault fault) {
        String body = "{\"store\":\"" + fault + "\"}";
        thread.await(
                () -> client(address).send(HttpMethod.PUT, "/admin/faults", Optional.of(body)));
    }

    @Test
    void commitsOnceAndTellsTheRowThatIsThere() {
        Outcome first = commit(0, Write.put(KEY, "{\"v\":1}"));
        assertThat(first).isInstanceOf(Outcome.Committed.class);
        long version = ((Outcome.Committed) first).version();

        assertThat(commit(0, Write.put(KEY, "{\"v\":2}")))
                .isEqualTo(new Outcome.Conflict(List.of(new Row(KEY, version, "{\"v\":1}"))));
        assertThat(await(() -> store.scan("jobs", PART, KeyRange.ALL)).rows())
                .containsExactly(new Row(KEY, version, "{\"v\":1}"));
        assertThat(await(() -> store.scan("jobs", PART, KeyRange.after("a"))).rows()).isEmpty();
    }

    @Test
    void followsChangesAndDeletions() {
        long version = ((Outcome.Committed) commit(0, Write.put(KEY, "x"))).version();
        commit(version, Write.delete(KEY));
        Changes changes = await(() -> store.follow("jobs", version - 1, Duration.ZERO));
        assertThat(((Changes.Next) changes).rows())
                .extracting(RowStore.Change::value)
                .containsExactly(Optional.of("x"), Optional.empty());

        setFault(StoreFault.FORGETFUL);
        assertThat(await(() -> store.follow("jobs", version, Duration.ZERO)))
                .isInstanceOf(Changes.HistoryLost.class);
    }

    @Test
    void aStoreThatIsDownRefusesAndOneThatLosesRepliesLeavesItOpen() {
        setFault(StoreFault.DOWN);
        assertThatThrownBy(() -> commit(0, Write.put(KEY, "x")))
                .isInstanceOfSatisfying(
                        StoreException.class,
                        e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.NONE));
        setFault(StoreFault.LOSE_REPLIES);
        assertThatThrownBy(() -> commit(0, Write.put(KEY, "x")))
                .isInstanceOfSatisfying(
                        StoreException.class,
                        e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.UNKNOWN));
        setFault(StoreFault.NONE);
        assertThat(await(() -> store.scan("jobs", PART, KeyRange.ALL)).rows()).hasSize(1);
    }

    @Test
    void theOperatorsAndTheWorkersRowsAreReadAsTheyWereWritten() {
        FleetRowCodec codec = new FleetRowCodec();
        Row configuration =
                await(() -> store.scan(codec.operatorTable(), "", KeyRange.ALL)).rows().get(0);
        FleetRows.OperatorRow read =
                codec.operatorRow(configuration.key().key(), configuration.value()).orElseThrow();
        assertThat(read)
                .isInstanceOfSatisfying(
                        FleetRows.OperatorRow.Configuration.class,
                        c -> {
                            assertThat(c.manifest().routeOf(HOST, "/proofs/x")).isPresent();
                            assertThat(c.manifest().customerOf(FleetServer.KEY)).isPresent();
                            assertThat(c.manifest().isStandby("standby")).isTrue();
                        });
        Row registered =
                await(() -> store.scan(codec.workerTable(), "", KeyRange.ALL)).rows().get(0);
        assertThat(codec.worker(registered.key().key(), registered.value()).entry())
                .map(WorkerEntry::address)
                .contains(workerAddress);
    }

    private HoldAnswer hold(long fence, long expiresAt, long acknowledged, Duration wait) {
        return await(() -> worker.hold(fence, OptionalLong.of(expiresAt), acknowledged, wait));
    }

    private RunReport report(long acknowledged, Duration wait) {
        long now =
                ((HoldAnswer.Reported) hold(1, 0, acknowledged, Duration.ZERO))
                        .report()
                        .clockMillis();
        return ((HoldAnswer.Reported) hold(1, now + 10_000, acknowledged, wait)).report();
    }

    private OrderAnswer start(int run) {
        long clock = report(0, Duration.ZERO).clockMillis();
        StartCall call = new StartCall(TASK, run, "text", clock + 5_000, 1, "", Optional.empty());
        return await(() -> worker.start(call));
    }

    @Test
    void runsATaskAndTellsItsEndUntilItIsAcknowledged() {
        assertThat(start(1)).isEqualTo(OrderAnswer.DONE);
        assertThat(start(1)).isEqualTo(OrderAnswer.DONE);
        EndedRun end = new EndedRun(1, TASK, 1, RunEnd.DONE, "");
        assertThat(report(0, LONGEST_WAIT).ended()).containsExactly(end);
        assertThat(report(0, Duration.ZERO).ended()).containsExactly(end);
        assertThat(report(1, Duration.ZERO).ended()).isEmpty();
        assertThat(start(1)).isEqualTo(OrderAnswer.RUN_TOO_OLD);
    }

    @Test
    void stopsARunAndRefusesOlderHoldersAndOtherLifetimes() {
        start(1);
        assertThat(report(0, Duration.ZERO).running())
                .extracting(RunningTask::task)
                .containsExactly(TASK);
        assertThat(await(() -> worker.pace(TASK, 1, 50, 1))).isEqualTo(OrderAnswer.DONE);
        assertThat(await(() -> worker.stop(TASK, 1, 2))).isEqualTo(OrderAnswer.DONE);
        assertThat(await(() -> worker.stop(TASK, 1, 1))).isEqualTo(OrderAnswer.FENCED);
        assertThat(hold(1, 0, 0, Duration.ZERO)).isInstanceOf(HoldAnswer.Fenced.class);

        WorkerClient other =
                new WorkerClient("worker-9", client(workerAddress), client(workerAddress));
        assertThat(await(() -> other.stop(TASK, 1, 9))).isEqualTo(OrderAnswer.OTHER_LIFETIME);
    }

    @Test
    void maintainsAVmAndBringsItBackWithAnotherWorker() {
        ListedFleetVm before = await(vms::list).get(0);
        assertThat(before.status()).isEqualTo(ListedFleetVm.Status.UP);
        assertThat(await(() -> vms.maintain("vm-1", 7, DUTY))).isEqualTo(VmAnswer.DONE);
        assertThat(await(vms::list).get(0).status()).isEqualTo(ListedFleetVm.Status.MAINTENANCE);
        assertThat(await(() -> vms.move("vm-1", "standby", DUTY))).isEqualTo(VmAnswer.BUSY);
        assertThat(await(() -> vms.move("vm-1", "standby", new Duty("entry-2", 2))))
                .isEqualTo(VmAnswer.FENCED);
        assertThat(await(() -> vms.move("vm-9", "standby", DUTY))).isEqualTo(VmAnswer.NOT_POSSIBLE);
        assertThat(hold(1, 0, 0, Duration.ZERO)).isInstanceOf(HoldAnswer.OtherLifetime.class);
    }

    @Test
    void advisesOnWorkers() {
        PlacementAdviceClient advice = new PlacementAdviceClient(client(address));
        List<String> asked = new ArrayList<>(List.of("worker-1", "worker-2"));
        assertThat(await(() -> advice.ask("5c0e7a21d94b36f8", 0, 1, asked)).tickets())
                .containsOnlyKeys("worker-1", "worker-2");
    }
}
