package org.chervillift.core.tasks.manifests;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.junit.jupiter.api.Test;

class ManifestCheckTest {

    private static final PoolPolicy POOL = new PoolPolicy("p", true, false);
    private static final PoolPolicy STANDBY = new PoolPolicy("spare", true, true);
    private static final Customer CUSTOMER = customer("a", 1, "secret-1");

    private static Customer customer(String name, double weight, String... keys) {
        return new Customer(name, Set.of(keys), weight, Resources.NONE);
    }

    private static QueueRoute route(String queue, String prefix, String pool, double stretch) {
        QueuePolicy policy = new QueuePolicy(queue, pool, 0, 2, stretch, 600, false);
        return new QueueRoute("h", prefix, false, policy);
    }

    private static final QueueRoute ROUTE = route("q", "/q/", "p", 1);

    private static Manifest manifest(
            long version, List<QueueRoute> routes, List<Customer> customers) {
        return Manifest.of(version, routes, List.of(POOL, STANDBY), customers, 1);
    }

    private static List<String> check(Manifest manifest) {
        return ManifestCheck.findings(manifest, Optional.empty()).stream()
                .map(f -> f.severity() + " " + f.entry())
                .toList();
    }

    private static List<String> checkRoutes(QueueRoute... routes) {
        return check(manifest(2, List.of(routes), List.of(CUSTOMER)));
    }

    @Test
    void aSoundConfigurationHasNoFindings() {
        assertThat(checkRoutes(ROUTE, route("r", "/q/r/", "p", 1), route("s", "/", "p", 1)))
                .isEmpty();
    }

    /** Guards against jobs that run in the queue of another route, or are answered 404. */
    @Test
    void aRouteThatAnotherHidesIsFound() {
        assertThat(checkRoutes(ROUTE, route("same", "/q/", "p", 1)))
                .containsExactly("ERROR route h/q/ of queue same");
        assertThat(checkRoutes(ROUTE, route("part", "/q/5", "p", 1)))
                .containsExactly("ERROR route h/q/ of queue q");
    }

    /** Guards against queues whose jobs never start. */
    @Test
    void aQueueWithoutVmsIsFound() {
        assertThat(checkRoutes(ROUTE, route("x", "/x/", "none", 1), route("y", "/y/", "spare", 1)))
                .containsExactly("ERROR queue x", "ERROR queue y");
    }

    @Test
    void limitsThatContradictAreFound() {
        assertThat(checkRoutes(route("q", "/q/", "p", 0.5))).containsExactly("WARNING queue q");
        assertThat(checkRoutes(ROUTE, route("q", "/x/", "p", 2))).containsExactly("ERROR queue q");
        assertThat(check(manifest(2, List.of(), List.of(CUSTOMER))))
                .containsExactly("WARNING pool p");
    }

    @Test
    void customersThatCannotHandInJobsOrShareAKeyAreFound() {
        List<Customer> customers =
                List.of(CUSTOMER, customer("b", 1), customer("c", 0, "secret-1"));
        assertThat(check(manifest(2, List.of(ROUTE), customers)))
                .containsExactly("WARNING customer b", "ERROR customer c");
        assertThat(check(manifest(2, List.of(ROUTE), List.of())))
                .containsExactly("ERROR customers");
    }

    /** Guards against a version that no process takes, since it is not higher. */
    @Test
    void aVersionThatIsNotHigherIsFound() {
        Manifest manifest = manifest(2, List.of(ROUTE), List.of(CUSTOMER));
        assertThat(ManifestCheck.findings(manifest, Optional.of(manifest))).hasSize(1);
    }

    /** Keys are secrets, and the output of the command goes into tickets. */
    @Test
    void differencesNameEachEntryAndNoKey() {
        Manifest before = manifest(1, List.of(ROUTE), List.of(CUSTOMER));
        Manifest after =
                manifest(
                        2,
                        List.of(route("q", "/q/", "p", 2), route("r", "/r/", "p", 1)),
                        List.of(customer("a", 2, "secret-2"), customer("b", 1, "secret-3")));
        List<String> lines = ManifestDifferences.between(before, after);
        assertThat(lines).hasSize(5).noneMatch(l -> l.contains("secret"));
        assertThat(ManifestDifferences.between(before, before)).isEmpty();
    }
}
