/** The course of one request, from the claim on its identifier to its one answer. */
package org.chervillift.core.requests;
