/** Reads and writes configuration versions on the platform. */
package org.chervillift.daemon.internal.config;
