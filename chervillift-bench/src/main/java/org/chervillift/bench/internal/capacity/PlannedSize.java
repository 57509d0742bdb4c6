package org.chervillift.bench.internal.capacity;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.platform.ListedVm;

/** The planned size, and content of any size like it. */
final class PlannedSize {

    static final int WORKERS = 1_200;
    static final int POOLS = 34;
    static final int TEAMS = 170;
    static final int DATA_CENTRES = 6;
    static final int ENTRY_VMS = 48;
    static final int CHANGES_A_DAY = 420;
    static final int RESTARTS_A_DAY = 310;
    static final int MAINTENANCE_DAYS = 14;
    static final int KEYS_A_TEAM = 3;
    static final double SECONDS_A_DAY = 86_400;

    private static final int SLOTS = 8;
    private static final int RACK_VMS = 4;

    private PlannedSize() {}

    static FleetConfig config(int workers) {
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.add(new Team("team-" + i, 1 + i, 10 + i));
        }
        List<Pool> pools = new ArrayList<>();
        List<Queue> queues = new ArrayList<>();
        for (int i = 0; i < POOLS; i++) {
            pools.add(new Pool("pool-" + i, 90, i == 0));
            queues.add(new Queue("queue-" + i, "pool-" + i, false));
        }
        return new FleetConfig(1, teams, pools, queues, vms(workers), List.of());
    }

    static List<VmSpec> vms(int workers) {
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            vms.add(
                    new VmSpec(
                            "worker-" + i,
                            "pool-" + i % POOLS,
                            "dc-" + i % DATA_CENTRES,
                            "rack-" + i / RACK_VMS,
                            "10.1." + i / 250 + "." + i % 250 + ":8080",
                            SLOTS));
        }
        return vms;
    }

    static KeyRing ring(int teams) {
        List<KeyGrant> grants = new ArrayList<>();
        for (int i = 0; i < teams * KEYS_A_TEAM; i++) {
            grants.add(new KeyGrant("key-" + i, "team-" + i % teams, Sha256.hex("key " + i)));
        }
        return new KeyRing(1, grants);
    }

    static List<ListedVm> list(int workers) {
        List<ListedVm> listed = new ArrayList<>();
        for (VmSpec vm : vms(workers)) {
            listed.add(
                    new ListedVm(
                            vm.id(),
                            ListedVm.Role.UPSTREAM,
                            vm.dataCentre(),
                            vm.address(),
                            "",
                            false));
        }
        for (int i = 0; i < ENTRY_VMS; i++) {
            String address = "10.2.0." + i;
            listed.add(
                    new ListedVm(
                            "entry-" + i,
                            ListedVm.Role.ENTRY,
                            "dc-" + i % DATA_CENTRES,
                            address + ":8080",
                            address + ":7000",
                            false));
        }
        return listed;
    }
}
