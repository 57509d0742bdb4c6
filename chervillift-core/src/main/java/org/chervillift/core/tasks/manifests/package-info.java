/** Checks a configuration before an operator sends it. */
package org.chervillift.core.tasks.manifests;
