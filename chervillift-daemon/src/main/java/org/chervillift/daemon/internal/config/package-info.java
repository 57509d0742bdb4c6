/** Reads and writes configuration versions in the platform's service. */
package org.chervillift.daemon.internal.config;
