/**
 * Versions of the configuration: their differences and the rules for applying and adopting them.
 */
package org.chervillift.core.config;
