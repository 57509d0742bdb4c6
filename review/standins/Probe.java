import java.nio.file.Path;
import java.util.Map;

/** A short run that only checks that the stand-ins and the programs work together. */
final class Probe {
    public static void main(String[] args) {
        Fleet.main(Path.of(args[0]), fleet -> {
            fleet.putManifest(1, Map.of("studio", 0));
            fleet.addWorkers(3, 8_000);
            fleet.startDaemons(2);
            Client c = new Client("key-of-studio");
            c.submit(fleet.daemons.get(0), "/desk/" + Fleet.id(1), Fleet.job(800, 6, 1000), 5);
            boolean ok = Fleet.await(
                    () -> c.call("GET", fleet.daemons.get(1), "/desk/" + Fleet.id(1), "").state().equals("completed"),
                    10_000);
            return ok ? Fleet.HELD : Fleet.BROKEN;
        });
    }
}
