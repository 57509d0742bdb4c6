/** Configuration versions: what a change does, whether it may be applied, what may be adopted. */
package org.chervillift.core.config;
