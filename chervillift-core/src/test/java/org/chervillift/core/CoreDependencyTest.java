package org.chervillift.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks that the decision logic uses no clocks, hidden randomness, threads, sockets or files. */
class CoreDependencyTest {

    private static final JavaClasses CORE_CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.chervillift.core");

    @Test
    void coreHasNoThreadsSocketsOrFiles() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.io..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "io.activej..",
                        "io.netty..",
                        "org.chervillift.runtime..",
                        "org.chervillift.daemon..")
                .allowEmptyShould(true)
                .check(CORE_CLASSES);
    }

    @Test
    void coreReadsNoClockAndNoHiddenRandomness() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .allowEmptyShould(true)
                .check(CORE_CLASSES);
    }
}
