/** Randomised runs in virtual time over configuration versions and keys. */
package org.chervillift.bench.config;
