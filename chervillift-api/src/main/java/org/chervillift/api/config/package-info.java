/** The configuration that operators bring into force with a sheet. */
package org.chervillift.api.config;
