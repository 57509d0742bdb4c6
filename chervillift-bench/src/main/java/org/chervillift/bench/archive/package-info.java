/**
 * The run at build time that fills the archive of classes for the daemon of the users' platform.
 */
package org.chervillift.bench.archive;
