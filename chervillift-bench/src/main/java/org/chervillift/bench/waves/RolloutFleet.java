package org.chervillift.bench.waves;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.VmSpec;

/**
 * The pools and VMs that a roll-out is measured on.
 *
 * @param name the name that figures carry
 * @param pools the pools
 * @param vms the VMs
 */
record RolloutFleet(String name, List<Pool> pools, List<VmSpec> vms) {

    private static final int VMS_A_RACK = 4;
    private static final int SERVICES = 5;
    private static final int SLOTS = 8;
    private static final int SERVICE_BUDGET = 75;
    private static final int WORKER_BUDGET = 80;
    private static final int PLANNED_POOLS = 34;
    private static final int PLANNED_WORKERS = 1_200;
    private static final int PLANNED_DATA_CENTRES = 6;

    RolloutFleet {
        pools = List.copyOf(pools);
        vms = List.copyOf(vms);
    }

    /** Three data centres, five services of seven executors, 35 workers. */
    static RolloutFleet clydeform() {
        return ofToday("clydeform", 3, 7, 35);
    }

    /** Four data centres, five services of eight executors, 40 workers. */
    static RolloutFleet studioraster() {
        return ofToday("studioraster", 4, 8, 40);
    }

    /** 1,200 workers in 34 pools over six data centres, each rack in one pool. */
    static RolloutFleet planned() {
        List<Pool> pools = new ArrayList<>();
        for (int i = 0; i < PLANNED_POOLS; i++) {
            pools.add(new Pool("pool-" + i, WORKER_BUDGET, false));
        }
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < PLANNED_WORKERS; i++) {
            int rack = i / VMS_A_RACK;
            String pool = "pool-" + rack % PLANNED_POOLS;
            vms.add(vm("worker-" + i, pool, rack % PLANNED_DATA_CENTRES, rack));
        }
        return new RolloutFleet("planned", pools, vms);
    }

    private static RolloutFleet ofToday(String name, int dataCentres, int executors, int workers) {
        List<Pool> pools = new ArrayList<>();
        List<VmSpec> vms = new ArrayList<>();
        for (int s = 0; s < SERVICES; s++) {
            pools.add(new Pool("service-" + s, SERVICE_BUDGET, false));
        }
        for (int i = 0; i < SERVICES * executors; i++) {
            int rack = i / VMS_A_RACK;
            vms.add(vm("executor-" + i, "service-" + i % SERVICES, rack % dataCentres, rack));
        }
        pools.add(new Pool("workers", WORKER_BUDGET, false));
        int firstRack = SERVICES * executors / VMS_A_RACK + 1;
        for (int i = 0; i < workers; i++) {
            int rack = firstRack + i / VMS_A_RACK;
            vms.add(vm("worker-" + i, "workers", rack % dataCentres, rack));
        }
        return new RolloutFleet(name, pools, vms);
    }

    private static VmSpec vm(String id, String pool, int dataCentre, int rack) {
        return new VmSpec(id, pool, "dc-" + dataCentre, "rack-" + rack, "127.0.0.1:80", SLOTS);
    }
}
