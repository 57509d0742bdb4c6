package org.chervillift.sheet.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Objective;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.api.config.VmSpec;

/** Makes a configuration of the rows of a sheet. */
public final class ConfigAssembler {

    private static final int MOST_COUNT = 1_000_000;
    private static final int MOST_SLOTS = 10_000;
    private static final int MOST_WITHIN_MILLIS = 86_400_000;

    private final ErrorList errors;
    private final References references;
    private final List<Team> teams = new ArrayList<>();
    private final List<Pool> pools = new ArrayList<>();
    private final List<Queue> queues = new ArrayList<>();
    private final List<VmSpec> vms = new ArrayList<>();
    private final List<Objective> objectives = new ArrayList<>();

    private ConfigAssembler(SheetTable table, ErrorList errors) {
        this.errors = errors;
        this.references = References.of(table.rows(), errors);
    }

    /** Returns the configuration; it counts only if no error was added. */
    public static FleetConfig assemble(SheetTable table, ErrorList errors) {
        ConfigAssembler assembler = new ConfigAssembler(table, errors);
        assembler.readRows(table.rows());
        return assembler.config();
    }

    private void readRows(List<SheetRow> rows) {
        boolean ended = false;
        for (SheetRow row : rows) {
            if (ended) {
                errors.add(row.number(), "", "a row after the end", "nothing after the end row");
                return;
            }
            Optional<RowKind> kind = RowKind.of(row.cell(Column.KIND));
            if (kind.isEmpty()) {
                refuseKind(row);
                continue;
            }
            ended = kind.get() == RowKind.END;
            readRow(row, kind.get());
        }
        if (!ended) {
            errors.add(
                    0, "kind", "no end row", "a last row of kind end, so that a cut sheet shows");
        }
    }

    private void refuseKind(SheetRow row) {
        String words = String.join(", ", RowKind.words());
        errors.add(row.number(), Column.KIND.title(), row.cell(Column.KIND), words);
    }

    private void readRow(SheetRow row, RowKind kind) {
        RowReader cells = new RowReader(row, kind, errors);
        cells.refuseForeignCells();
        Runnable reader =
                switch (kind) {
                    case TEAM -> () -> addIfValid(teams, () -> team(cells));
                    case POOL -> () -> addIfValid(pools, () -> pool(cells));
                    case QUEUE -> () -> addIfValid(queues, () -> queue(cells));
                    case VM -> () -> addIfValid(vms, () -> vm(cells));
                    case OBJECTIVE -> () -> addIfValid(objectives, () -> objective(cells));
                    case END -> () -> {};
                };
        reader.run();
    }

    private <T> void addIfValid(List<T> list, Supplier<T> reader) {
        int before = errors.total();
        T item = reader.get();
        if (errors.total() == before) {
            list.add(item);
        }
    }

    private Team team(RowReader cells) {
        String name = cells.name(Column.NAME);
        int share = cells.whole(Column.SHARE, 1, MOST_COUNT);
        int limit = cells.whole(Column.LIMIT, 0, MOST_COUNT);
        return new Team(name, share, limit);
    }

    private Pool pool(RowReader cells) {
        String name = cells.name(Column.NAME);
        int least = cells.wholePercent(Column.MIN_AVAILABLE);
        boolean spare = cells.yesOrNo(Column.SPARE);
        return new Pool(name, least, spare);
    }

    private Queue queue(RowReader cells) {
        String name = cells.name(Column.NAME);
        String pool = cells.name(Column.POOL);
        boolean open = cells.yesOrNo(Column.OPEN);
        references.checkServingPool(cells, pool);
        return new Queue(name, pool, open);
    }

    private VmSpec vm(RowReader cells) {
        String name = cells.name(Column.NAME);
        String pool = cells.name(Column.POOL);
        String dataCentre = cells.name(Column.DATA_CENTRE);
        String rack = cells.name(Column.RACK);
        String address = cells.address(Column.ADDRESS);
        int slots = cells.whole(Column.SLOTS, 1, MOST_SLOTS);
        references.checkPool(cells, pool);
        return new VmSpec(name, pool, dataCentre, rack, address, slots);
    }

    private Objective objective(RowReader cells) {
        String queue = cells.name(Column.NAME);
        double good = cells.percent(Column.GOOD);
        long within = cells.whole(Column.WITHIN, 1, MOST_WITHIN_MILLIS);
        references.checkQueue(cells, queue);
        return new Objective(queue, good, within);
    }

    private FleetConfig config() {
        teams.sort(Comparator.comparing(Team::name));
        pools.sort(Comparator.comparing(Pool::name));
        queues.sort(Comparator.comparing(Queue::name));
        vms.sort(Comparator.comparing(VmSpec::id));
        objectives.sort(Comparator.comparing(Objective::queue));
        return new FleetConfig(0, teams, pools, queues, vms, objectives);
    }
}
